"""The entry host's daemon on the users' platform.

The daemon does the network and file I/O around `lacewingcross.core`, which makes the
decisions. Formats and calls of the platform are in `lacewingcross.platform`.
"""
