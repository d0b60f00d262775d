"""Decision logic of a host, free of I/O: takes timed events and returns actions."""
