"""The callers' side: listener, look-ups, requests and backend connections."""
