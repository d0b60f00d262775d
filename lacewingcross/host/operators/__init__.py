"""The operators' side: health, metrics and status over HTTP."""
