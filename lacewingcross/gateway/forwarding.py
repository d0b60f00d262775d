"""Translates requests for backend servers, and responses for callers."""

from dataclasses import dataclass

import h11

from .. import headers as hd
from ..core.fingerprint import RequestIdentity
from ..http1_client import ResponseHead
from ..http1_exchange import RequestHead
from ..platform import headers as ph
from .attempt import CallerBody
from .frame import Frame

# A caller's headers that are not forwarded, since this host sets them itself.
OWN_REQUEST_HEADERS = frozenset(
    (
        ph.REMAINING_MS,
        ph.EXPECTED_INCARNATION,
        ph.ACCOUNT,
        hd.CONTENT_LENGTH,
        hd.TRANSFER_ENCODING,
    )
)
# A server's headers that are not forwarded, since this host frames the body itself.
OWN_ANSWER_HEADERS = frozenset((hd.CONTENT_LENGTH, hd.TRANSFER_ENCODING))


@dataclass(slots=True, frozen=True)
class CallerAccount:
    """The client account for which a request is forwarded.

    If the configuration has accounts, credentials are API keys, secrets between callers
    and hosts. Backend servers then get no key but the name of the account, which only
    hosts may set. Without accounts, credentials are forwarded like any other header.

    `has_accounts` says whether the configuration has accounts. `name` is the account's
    name, empty if the request has none.
    """

    has_accounts: bool = False
    name: str = ""

    def credentials(self, head: RequestHead) -> str:
        """Return what tells this caller's requests from other callers' requests.

        With accounts this is the account's name: all keys of an account belong to one
        caller, and fingerprints, which are stored, must not be computed from a key.
        """
        if self.has_accounts:
            return self.name
        return hd.find(head.headers, hd.AUTHORIZATION)


def request_for_server(
    head: RequestHead,
    body: CallerBody,
    server_id: str,
    time_left_s: float,
    caller_account: CallerAccount,
) -> h11.Request:
    """Return the head of a caller's request for one incarnation of a server.

    Parameters
    ----------
    head : RequestHead
        The head that the caller sent.
    body : CallerBody
        What was read of the caller's body. Whether that is all of it decides how the
        body is framed.
    server_id : str
        The incarnation that may run the request; any other refuses it.
    time_left_s : float
        Time until the deadline, in seconds.
    caller_account : CallerAccount
        The client account that the request belongs to.
    """
    fields = [
        item
        for item in hd.without_hop_by_hop(head.headers)
        if item[0] not in OWN_REQUEST_HEADERS
        and not (caller_account.has_accounts and item[0] == hd.AUTHORIZATION)
    ]
    if caller_account.name:
        fields.append((ph.ACCOUNT, caller_account.name.encode()))
    fields.append((ph.REMAINING_MS, str(max(1, int(time_left_s * 1000))).encode()))
    fields.append((ph.EXPECTED_INCARNATION, server_id.encode()))
    fields += _framing(head, body)
    return h11.Request(method=head.method, target=head.target, headers=fields)


def identity_of(
    frame: Frame, head: RequestHead, body: CallerBody, caller_account: CallerAccount
) -> RequestIdentity:
    """Return what a request and its copies have in common, apart from the body.

    The result contains the length of the body. While the body is incomplete, this is
    the declared length, or 0 if the caller declared none.
    """
    declared = hd.find(head.headers, hd.CONTENT_LENGTH)
    length = body.size if body.complete else int(declared or 0)
    credentials = caller_account.credentials(head)
    return RequestIdentity(
        head.method, frame.host_name, head.target, credentials, length
    )


def _framing(head: RequestHead, body: CallerBody) -> hd.HeaderList:
    """Return the header that frames the body: its length, or chunked if unknown.

    A request without a body gets no such header.
    """
    length = hd.find(head.headers, hd.CONTENT_LENGTH).encode()
    if not body.complete:
        if length:
            return [(hd.CONTENT_LENGTH, length)]
        return [(hd.TRANSFER_ENCODING, b"chunked")]
    if body.size or length or hd.find(head.headers, hd.TRANSFER_ENCODING):
        return [(hd.CONTENT_LENGTH, str(body.size).encode())]
    return []


def answer_for_caller(head: ResponseHead) -> hd.HeaderList:
    """Return the headers of a server's response to forward, without its framing."""
    return [
        item
        for item in hd.without_hop_by_hop(head.headers)
        if item[0] not in OWN_ANSWER_HEADERS
    ]
