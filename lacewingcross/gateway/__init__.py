"""The entry host's daemon on the users' platform: input and output around the core."""
