"""What a request and its answer look like on the other side of this host."""

from dataclasses import dataclass

import h11

from .. import headers as hd
from ..core.fingerprint import RequestIdentity
from ..http1_client import ResponseHead
from ..http1_exchange import RequestHead
from ..platform import headers as ph
from .attempt import CallerBody
from .frame import Frame

OWN_REQUEST_HEADERS = frozenset(
    (
        ph.REMAINING_MS,
        ph.EXPECTED_INCARNATION,
        ph.ACCOUNT,
        hd.CONTENT_LENGTH,
        hd.TRANSFER_ENCODING,
    )
)
OWN_ANSWER_HEADERS = frozenset((hd.CONTENT_LENGTH, hd.TRANSFER_ENCODING))


@dataclass(slots=True, frozen=True)
class CallerAccount:
    """For whom a request is sent on.

    Where accounts are in force, credentials are keys of accounts: secrets between
    callers and hosts. Backend servers get the account's name, and that from hosts only.
    Without accounts, credentials travel on like any other header.
    """

    has_accounts: bool = False
    account: str = ""

    def credentials(self, head: RequestHead) -> str:
        """Return what tells one caller's requests from another's.

        All keys of an account are one caller's; and no fingerprint, which is kept, is
        made of a key.
        """
        if self.has_accounts:
            return self.account
        return hd.find(head.headers, hd.AUTHORIZATION)


def request_for_server(
    head: RequestHead,
    body: CallerBody,
    server_id: str,
    time_left_s: float,
    caller_account: CallerAccount,
) -> h11.Request:
    """Return the head of a caller's request as one incarnation of a server gets it.

    Parameters
    ----------
    head : RequestHead
        The caller's.
    body : CallerBody
        What was read of the body, which decides how it is framed.
    server_id : str
        The incarnation that may run the request; any other refuses it.
    left_s : float
        Time until the deadline, in seconds.
    on_behalf : OnBehalf
        Whose request it is.
    """
    fields = [
        item
        for item in hd.without_hop_by_hop(head.headers)
        if item[0] not in OWN_REQUEST_HEADERS
        and not (caller_account.has_accounts and item[0] == hd.AUTHORIZATION)
    ]
    if caller_account.account:
        fields.append((ph.ACCOUNT, caller_account.account.encode()))
    fields.append((ph.REMAINING_MS, str(max(1, int(time_left_s * 1000))).encode()))
    fields.append((ph.EXPECTED_INCARNATION, server_id.encode()))
    fields += _framing(head, body)
    return h11.Request(method=head.method, target=head.target, headers=fields)


def identity_of(
    frame: Frame, head: RequestHead, body: CallerBody, caller_account: CallerAccount
) -> RequestIdentity:
    """Return what a request has in common with its repeats, besides its body."""
    declared = hd.find(head.headers, hd.CONTENT_LENGTH)
    length = body.size if body.complete else int(declared or 0)
    credentials = caller_account.credentials(head)
    return RequestIdentity(
        head.method, frame.host_name, head.target, credentials, length
    )


def _framing(head: RequestHead, body: CallerBody) -> hd.HeaderList:
    """Return the header that frames the body: its length, unless nobody knows it."""
    length = hd.find(head.headers, hd.CONTENT_LENGTH).encode()
    if not body.complete:
        if length:
            return [(hd.CONTENT_LENGTH, length)]
        return [(hd.TRANSFER_ENCODING, b"chunked")]
    if body.size or length or hd.find(head.headers, hd.TRANSFER_ENCODING):
        return [(hd.CONTENT_LENGTH, str(body.size).encode())]
    return []


def answer_for_caller(head: ResponseHead) -> hd.HeaderList:
    """Return the headers of a server's answer that travel on, without its framing."""
    return [
        item
        for item in hd.without_hop_by_hop(head.headers)
        if item[0] not in OWN_ANSWER_HEADERS
    ]
