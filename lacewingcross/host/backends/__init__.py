"""Connections to backend servers, and health probes of them."""
