"""Codes of why another host did not carry a request; nothing of it was sent."""

# The other host could not be reached, or its stream ended. If that is found only after
# the request was sent, a server may have run it.
HOST_UNREACHABLE = "peer-unreachable"
# The other host has sent something unexpected.
BAD_STREAM = "peer-bad-frame"
# The other host carries as many requests as it may.
NO_ROOM = "peer-full"
LEAVING = "peer-leaving"
# The other host does not reach the server either.
NO_PATH = "peer-lost-path"
# The other host does not know this run of the server.
UNKNOWN_SERVER = "peer-unknown-server"
# The server is evacuated, leaving, or has asked the other host for a back-off.
NOT_ALLOWED = "peer-not-allowed"

# Reason why an attempt was given up: no response in time. Behind another host, that
# host may have fallen silent as well.
SILENT_SERVER = "silent-server"

# Reasons that say nothing about the server.
HOST_REASONS = frozenset((HOST_UNREACHABLE, BAD_STREAM, NO_ROOM, LEAVING, NO_PATH))
# Reasons after which the other host is not used for a while.
SKIP_HOST_REASONS = frozenset((HOST_UNREACHABLE, BAD_STREAM, LEAVING, NO_PATH))
