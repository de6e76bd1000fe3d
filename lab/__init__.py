"""Experiments that measure egretlanding."""
