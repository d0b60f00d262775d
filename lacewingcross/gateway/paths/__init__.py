"""Checks whether a server that this host cannot reach has crashed."""
