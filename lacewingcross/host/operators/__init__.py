"""Health, metrics and status for operators over HTTP."""
