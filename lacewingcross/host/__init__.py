"""The entry host's daemon: a supervisor tree of adapters around the core."""
