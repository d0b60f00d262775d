"""Fault soak: entry hosts as real processes, faults from outside, promises checked."""
