"""Links to the other entry hosts."""
