"""Chooses the backend server of each request from what hosts know of servers."""
