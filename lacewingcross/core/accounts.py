"""Client accounts, and which of them holds a key."""

from collections.abc import Iterable
from dataclasses import dataclass

from ..errors import AccountError
from .quota import Quota


@dataclass(slots=True, frozen=True)
class ClientAccount:
    """One client account as operators declared it.

    Attributes
    ----------
    name : str
        Name, which backend servers are told.
    rank : int or None
        Rank of its requests, 0 first; None leaves them that of their route.
    home_regions : frozenset of str
        Regions that may serve it; empty means all.
    quota : Quota or None
        What it may run; None means any number.
    """

    name: str
    rank: int | None = None
    home_regions: frozenset[str] = frozenset()
    quota: Quota | None = None


class Accounts:
    """The accounts of one version of the configuration.

    Without accounts nobody is asked for a key, and what callers send as credentials is
    between them and the backend servers.

    Parameters
    ----------
    accounts : iterable of (ClientAccount, list of str)
        Each account and its keys.

    Raises
    ------
    AccountError
        With code ``shared-key`` when two accounts have the same key: a request of one
        would be counted and run as the other's. The message names no key.
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
        """Tell whether there are accounts, so that callers need keys."""
        return bool(self.by_name)

    def holder(self, key: str) -> ClientAccount | None:
        """Return the account that holds a key."""
        return self._by_key.get(key)
