"""Client accounts, and the lookup of an account by its API key."""

from collections.abc import Iterable
from dataclasses import dataclass

from ..errors import AccountError
from .quotas.bound import Quota


@dataclass(slots=True, frozen=True)
class ClientAccount:
    """One client account as operators declared it.

    Attributes
    ----------
    name : str
        Name, which is passed on to backend servers.
    rank : int or None
        Rank of the account's requests, 0 first; None means that the route's rank
        applies.
    home_regions : frozenset of str
        Regions that may serve the account's requests; empty means all.
    quota : Quota or None
        Limit of the account's requests; None means no limit.
    """

    name: str
    rank: int | None = None
    home_regions: frozenset[str] = frozenset()
    quota: Quota | None = None


class Accounts:
    """The accounts of one version of the configuration.

    If no accounts are declared, callers need no key, and the credentials that they send
    are a matter between them and the backend servers.

    Parameters
    ----------
    accounts : iterable of (ClientAccount, list of str)
        Each account and its API keys.

    Raises
    ------
    AccountError
        With code ``shared-key`` if two accounts have the same key, because a request of
        one would be counted and run as the other's. The message does not contain the
        key.
    """

    __slots__ = ("_by_key", "by_name")

    def __init__(
        self, accounts: Iterable[tuple[ClientAccount, Iterable[str]]] = ()
    ) -> None:
        self._by_key: dict[str, ClientAccount] = {}
        self.by_name: dict[str, ClientAccount] = {}
        for account, keys in accounts:
            self.by_name[account.name] = account
            for key in keys:
                other = self._by_key.setdefault(key, account)
                if other is not account:
                    raise AccountError(
                        "shared-key",
                        f"accounts {other.name} and {account.name} share a key",
                    )

    def __bool__(self) -> bool:
        """Return whether there are accounts, so that callers need keys."""
        return bool(self.by_name)

    def holder(self, key: str) -> ClientAccount | None:
        """Return the account that an API key belongs to, or None."""
        return self._by_key.get(key)
