"""Factors between units that several modules use."""

US_PER_S = 1_000_000
PERCENT = 100
