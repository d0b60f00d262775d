"""How a request reaches a backend server: directly, or through another entry host.

`reachability` holds which servers this host reaches itself, and by what evidence.
`intermediaries` chooses the host that a request is sent through. `selection` gives the
path to a server. `findings` combines what hosts find when they check a server.
"""
