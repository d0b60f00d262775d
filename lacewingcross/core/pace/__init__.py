"""Follows the present speed of each backend server, as servers report it."""
