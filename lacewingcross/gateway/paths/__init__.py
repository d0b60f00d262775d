"""Sends requests through other entry hosts, and carries requests of other hosts.

`streams` are the connections on which a host sends its requests through others, and
`carrier` is the other end. `checks` finds out whether a server that this host cannot
reach has crashed or only the path to it is lost, and `recovery` when a path works
again.
"""
