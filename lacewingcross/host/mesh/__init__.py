"""Streams between entry hosts."""
