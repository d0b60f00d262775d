"""The decisions, free of I/O: events with the time go in, actions come out."""
