"""Fault soak: runs entry hosts as processes, injects faults, checks the guarantees."""
