"""How a request is treated, as set by its route and its client account."""

from dataclasses import dataclass

from .accounts import Accounts, ClientAccount
from .routes import Route


@dataclass(slots=True, frozen=True)
class Terms:
    """How a request is treated.

    `account` is None where callers need no API key. The lower `rank` is, the more
    urgent is the request. `regions` may serve the request; empty stands for all
    regions, unless `no_common_region` is true: then the route and the account both have
    home regions, but none in common.
    """

    account: ClientAccount | None
    rank: int
    regions: frozenset[str]
    no_common_region: bool = False

    @property
    def account_name(self) -> str:
        """Return the account's name, or an empty string."""
        return self.account.name if self.account else ""


def terms_for(route: Route, account: ClientAccount | None) -> Terms:
    """Return how a request of an account on a route is treated.

    The account's rank, if it has one, takes precedence over the route's priority. The
    home regions of both apply.
    """
    if account is None:
        return Terms(None, route.priority, route.home_regions)
    rank = route.priority if account.rank is None else account.rank
    if not route.home_regions or not account.home_regions:
        regions = route.home_regions or account.home_regions
        return Terms(account, rank, regions)
    common = route.home_regions & account.home_regions
    return Terms(account, rank, common, no_common_region=not common)


def ranks_of(route: Route, accounts: Accounts) -> set[int]:
    """Return the ranks that requests on a route may have, given all accounts."""
    if not accounts:
        return {route.priority}
    ranks = {terms_for(route, account).rank for account in accounts.by_name.values()}
    if route.public:
        ranks.add(route.priority)
    return ranks
