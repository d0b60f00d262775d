"""The platform's header names, in the lower case that h11 gives."""

REQUEST_ID = b"x-lacewingcross-request-id"
AFFINITY_KEY = b"x-lacewingcross-affinity-key"
# Milliseconds that remain when the request is sent.
REMAINING_MS = b"x-lacewingcross-request-deadline"
# Id of the incarnation that may run the request; any other answers 421.
EXPECTED_INCARNATION = b"x-lacewingcross-expected-instance"
# Present when a backend server says that it did not run the request.
NOT_RUN = b"x-lacewingcross-not-executed"
# Name of the client account, for backend servers only.
ACCOUNT = b"x-lacewingcross-tenant-id"
SIGNATURE = b"x-lacewingcross-response-signature"
# "running,waiting,slots"
LOAD = b"x-lacewingcross-server-load"
# Requests a second that a server takes from all hosts together.
SERVER_LIMIT = b"server-limit"
# Present when a server is about to end.
SERVER_LEAVING = b"server-leaving"
# With a status in `RESTING`: seconds for which the server wants nothing from this host.
RETRY_AFTER = b"retry-after"
BACKOFF_STATUSES = frozenset((429, 503))
# When an answer was made, by its server's clock.
DATE = b"date"
# What a server says of itself, besides its load.
SIGNAL_HEADERS = frozenset((SERVER_LIMIT, SERVER_LEAVING, RETRY_AFTER))
