"""A host's side of idempotency keys: claiming keys and releasing them."""

from collections.abc import Iterator

from . import messages as msg
from .actions import Action, SendPeer
from .claims import ClaimKeeper, claim_id, hash_key, shard_of
from .request_state import Phase, RequestState
from .view import View


class KeyClaims:
    """Makes the messages that claim and release keys, for the keys' current owners.

    Keys are divided into shards; one host at a time owns each shard.

    Parameters
    ----------
    view : View
        Shared state.
    keepers : ClaimKeeper
        Source of the current owner of each shard.
    """

    __slots__ = ("_keepers", "_view")

    def __init__(self, view: View, keepers: ClaimKeeper) -> None:
        self._view = view
        self._keepers = keepers

    def ask(self, state: RequestState, now: float) -> SendPeer:
        """Return the message that claims a request's key, and note it in `state`.

        The request is sent to a server only after the claim has succeeded.

        Guards against a caller that received no response and sends the same booking to
        a second host: without a claim, both hosts would run it. The two hosts share
        only the platform, where the claim succeeds for one of them.
        """
        req = state.req
        own = self._view.own.host_id
        state.phase = Phase.CLAIM
        state.key_hash = hash_key(req.service, req.key)
        state.claim = claim_id(own, self._view.incarnation, req.request_id)
        state.keeper = self._owner(state, now)
        state.asked_at = now
        message = msg.Claim(req.service, req.request_id, state.key_hash, state.claim)
        return SendPeer(state.keeper, message)

    def owner_moved(self, state: RequestState, now: float) -> bool:
        """Return whether the owner of the key's shard has changed since `ask`."""
        return self._owner(state, now) != state.keeper

    def free(self, state: RequestState, now: float) -> Iterator[Action]:
        """Release the key of a request that was claimed and certainly did not run.

        Otherwise the caller's retry would be refused as a duplicate of a booking that
        never ran. The key of a request that may have run stays claimed.
        """
        if state.key_hash and not state.may_have_run:
            message = msg.Unclaim(state.req.service, state.key_hash, state.claim)
            yield SendPeer(self._owner(state, now), message)

    def _owner(self, state: RequestState, now: float) -> str:
        shard = shard_of(state.key_hash)
        return self._keepers.owner_of(state.req.service, shard, now)
