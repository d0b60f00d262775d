"""The command line, a thin layer over the library."""
