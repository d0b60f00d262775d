"""Names of the platform's HTTP headers, in lower case as h11 returns them."""

REQUEST_ID = b"x-lacewingcross-request-id"
AFFINITY_KEY = b"x-lacewingcross-affinity-key"
# Time that remains for the request when it is sent, in milliseconds.
REMAINING_MS = b"x-lacewingcross-request-deadline"
# Id of the incarnation of the backend server that may run the request. Any other
# incarnation answers with status 421.
EXPECTED_INCARNATION = b"x-lacewingcross-expected-instance"
# Present when a backend server reports that it did not run the request.
NOT_RUN = b"x-lacewingcross-not-executed"
# Name of the client account; sent to backend servers only.
ACCOUNT = b"x-lacewingcross-tenant-id"
# Signature of the backend server; a successful response without it is invalid.
SIGNATURE = b"x-lacewingcross-response-signature"
# Load of a backend server, as "running,waiting,slots" or "running,waiting,slots,pace":
# the pace is the time that work takes there now, in percent of its usual time.
LOAD = b"x-lacewingcross-server-load"
# Requests a second that a backend server accepts from all hosts together.
SERVER_LIMIT = b"server-limit"
# Present, with a value other than 0, when a backend server is about to shut down.
SERVER_LEAVING = b"server-leaving"
# With a status in `BACKOFF_STATUSES`: the back-off that a backend server requests from
# this host, in seconds or as a date.
RETRY_AFTER = b"retry-after"
BACKOFF_STATUSES = frozenset((429, 503))
# When a response was made, by the clock of the backend server.
DATE = b"date"
# Headers with signals of a backend server, other than its load.
SIGNAL_HEADERS = frozenset((SERVER_LIMIT, SERVER_LEAVING, RETRY_AFTER))
