"""Stand-ins for the systems around us, each with fault switches, for tests."""
