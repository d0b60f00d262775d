"""A host's side of idempotency keys: asking for claims and giving keys back."""

from collections.abc import Iterator

from . import messages as msg
from .actions import Action, SendPeer
from .claims import ClaimKeeper, claim_id, hash_key, shard_of
from .request_state import Phase, RequestState
from .view import View


class KeyClaims:
    """Asks the owner of a key's shard, whoever that is at the moment.

    Parameters
    ----------
    view : View
        Shared state.
    keepers : ClaimKeeper
        Knows who owns which shard.
    """

    __slots__ = ("_keepers", "_view")

    def __init__(self, view: View, keepers: ClaimKeeper) -> None:
        self._view = view
        self._keepers = keepers

    def ask(self, state: RequestState, now: float) -> SendPeer:
        """Ask for the claim of a request's key, before anything is sent.

        Failure: a caller that got no answer sends the same booking to a second host.
        Only the platform is seen by both; the claim succeeds for one of them.
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
        """Tell whether another host owns the key's shard by now."""
        return self._owner(state, now) != state.keeper

    def free(self, state: RequestState, now: float) -> Iterator[Action]:
        """Give back the key of a request that did not run.

        Otherwise the caller's retry would be told that its booking is a duplicate of
        one that never ran.
        """
        if state.key_hash and not state.may_have_run:
            message = msg.Unclaim(state.req.service, state.key_hash, state.claim)
            yield SendPeer(self._owner(state, now), message)

    def _owner(self, state: RequestState, now: float) -> str:
        shard = shard_of(state.key_hash)
        return self._keepers.owner_of(state.req.service, shard, now)
