"""Stand-ins for the platform and backend servers, with fault switches, for tests."""
