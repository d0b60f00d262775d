"""Rig of the second review: real entry hosts between small stand-ins, on loopback."""
