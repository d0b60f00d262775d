"""Decides by route, body size and account whether this host may serve a request."""

from dataclasses import dataclass

from .. import headers as hd
from ..core.accounts import ClientAccount
from ..core.routes import Route, RouteTable
from ..core.terms import Terms, terms_for
from ..http1_exchange import RequestHead
from .credentials import CredentialsError, read_key
from .forwarding import CallerAccount
from .frame import Frame
from .reply import HostAnswer

# Retry-After of a host that has no configuration yet, in seconds.
NO_CONFIGURATION_RETRY_S = 0.3
# Retry-After if route and account have no region in common, in seconds. Only a new
# configuration can change that.
NO_COMMON_REGION_RETRY_S = 5.0


@dataclass(slots=True, frozen=True)
class AdmittedRequest:
    """The route, terms and client account of a request that may be served."""

    route: Route
    terms: Terms
    caller_account: CallerAccount


def check_request(
    table: RouteTable | None, frame: Frame, head: RequestHead
) -> AdmittedRequest | HostAnswer:
    """Return the route and terms of a request that may be served, or its refusal.

    Parameters
    ----------
    table : RouteTable or None
        The configuration in force; None while this host has none.
    frame : Frame
        The request's frame.
    head : RequestHead
        The request's head.
    """
    if table is None:
        # Not 401: without a configuration this host knows no keys, and not even
        # whether the route needs one.
        return HostAnswer(503, "no-configuration", NO_CONFIGURATION_RETRY_S)
    route = table.match(frame.host_name, frame.path)
    if route is None:
        return HostAnswer(404, "no-route")
    length = hd.find(head.headers, hd.CONTENT_LENGTH)
    if length and int(length) > table.config.limits.max_body_bytes:
        return HostAnswer(413, "body-too-large")
    account = _identify_account(table, route, head)
    if isinstance(account, HostAnswer):
        return account
    terms = terms_for(route, account)
    if terms.no_common_region:
        return HostAnswer(503, "no-common-region", NO_COMMON_REGION_RETRY_S)
    has_accounts = bool(table.config.accounts)
    return AdmittedRequest(
        route, terms, CallerAccount(has_accounts, terms.account_name)
    )


def _identify_account(
    table: RouteTable, route: Route, head: RequestHead
) -> ClientAccount | HostAnswer | None:
    """Return the client account of a request, None if it needs none, or a refusal.

    On a public route a known key still identifies the account. A key that is unknown
    or unreadable is ignored there.
    """
    accounts = table.config.accounts
    if not accounts:
        return None
    try:
        account = accounts.holder(read_key(head.headers))
    except CredentialsError as exc:
        return (
            None
            if route.public
            else HostAnswer(400, "bad-credentials", detail=str(exc))
        )
    if account is None and not route.public:
        return HostAnswer(401, "unknown-key")
    return account
