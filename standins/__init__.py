"""Simple substitutes for the platform, the targets and a faulty network."""
