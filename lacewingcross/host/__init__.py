"""The entry host's process: a supervisor tree of adapters around the core."""
