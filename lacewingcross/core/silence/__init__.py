"""Finds backend servers that accept requests and no longer answer any host."""
