"""Serves callers: listener, look-ups, requests and their attempts."""
