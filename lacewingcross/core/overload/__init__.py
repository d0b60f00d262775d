"""Decides who is served, who waits and who is refused while capacity is short."""
