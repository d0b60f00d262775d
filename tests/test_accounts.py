"""Client accounts: keys, ranks, home regions, and validation of stored accounts."""

import pytest

from lacewingcross.core.accounts import Accounts, ClientAccount
from lacewingcross.core.quotas.bound import Quota, QuotaBound
from lacewingcross.core.terms import ranks_of, terms_for
from lacewingcross.errors import AccountError, UserError
from lacewingcross.gateway.credentials import CredentialsError, read_key
from lacewingcross.platform.objects import decode_configuration
from tests.test_routes import route


def stored(**tenants):
    return {"version": "r3", "routes": {}, "services": {}, "tenants": tenants}


def test_a_key_names_its_account():
    accounts = Accounts(
        [(ClientAccount("a"), ["k1", "k2"]), (ClientAccount("b"), ["k3"])]
    )
    assert accounts.holder("k2").name == "a"
    assert accounts.holder("k3").name == "b"
    assert accounts.holder("k4") is None


def test_a_key_of_two_accounts_is_refused_and_not_shown():
    with pytest.raises(AccountError) as raised:
        Accounts([(ClientAccount("a"), ["secret"]), (ClientAccount("b"), ["secret"])])
    assert raised.value.code == "shared-key"
    assert "secret" not in str(raised.value)


def test_an_account_may_name_a_key_twice():
    assert Accounts([(ClientAccount("a"), ["k", "k"])]).holder("k").name == "a"


def test_the_account_s_rank_goes_before_the_route_s():
    assert terms_for(route("r"), ClientAccount("a", rank=0)).rank == 0
    assert terms_for(route("r"), ClientAccount("a")).rank == 1
    assert terms_for(route("r"), None).rank == 1


def test_home_regions_of_route_and_account_both_apply():
    regional_route = route("r", homes=("norte", "centro"))
    south = ClientAccount("a", home_regions=frozenset(("sureste", "norte")))
    assert terms_for(regional_route, south).regions == {"norte"}
    assert terms_for(route("r"), south).regions == {"sureste", "norte"}
    assert terms_for(regional_route, ClientAccount("a")).regions == {"norte", "centro"}


def test_home_regions_without_a_common_one_allow_no_region():
    # An empty set of regions means all regions, so a route and an account without a
    # common region must be told apart from it.
    far = ClientAccount("a", home_regions=frozenset(("sureste",)))
    assert terms_for(route("r", homes=("norte",)), far).no_common_region


def test_ranks_that_requests_of_a_route_may_have():
    ranked = Accounts([(ClientAccount("a", rank=5), []), (ClientAccount("b"), [])])
    assert ranks_of(route("r"), ranked) == {5, 1}
    assert ranks_of(route("r"), Accounts()) == {1}


def test_a_stored_account_is_read():
    config = decode_configuration(
        stored(
            yefi={
                "api_keys": ["k1", "k2"],
                "priority": 0,
                "rate_per_s": 198,
                "burst": 20,
                "home_regions": ["norte"],
            },
            free={"api_keys": ["k3"], "rate_per_s": 0, "burst": 7},
        )
    )
    account = config.accounts.holder("k1")
    assert (account.name, account.rank) == ("yefi", 0)
    assert account.quota == Quota(198.0, 20.0)
    assert account.home_regions == {"norte"}
    assert config.accounts.holder("k3").quota is None
    assert config.accounts.holder("k3").rank is None


def test_without_accounts_nobody_needs_a_key():
    assert not decode_configuration(stored()).accounts


@pytest.mark.parametrize(
    "account",
    [
        {"api_keys": "secret"},
        {"api_keys": ["secret", 7]},
        {"api_keys": ["secret", ""]},
        {"api_keys": ["secret"], "rate_per_s": -1},
        {"api_keys": ["secret"], "rate_per_s": "fast"},
        {"api_keys": ["secret"], "rate_per_s": float("inf")},
        {"api_keys": ["secret"], "priority": -1},
        {"api_keys": ["secret"], "priority": True},
        {"api_keys": ["k"], "home_regions": "secret"},
        {"api_keys": ["k"], "home_regions": ["secret", 7]},
        "secret",
    ],
)
def test_an_account_that_cannot_be_read_is_refused_without_its_key(account):
    with pytest.raises(UserError) as raised:
        decode_configuration(stored(a=account))
    assert "secret" not in str(raised.value)


@pytest.mark.parametrize(
    "value",
    [
        b"Basic abc",
        b"Bearer",
        b"Bearer ",
        b"Bearer a b",
        b"Bearer \xe9",
        b"Bearer " + b"k" * 600,
        b"",
    ],
)
def test_credentials_that_are_no_key_are_refused(value):
    with pytest.raises(CredentialsError) as raised:
        read_key([(b"authorization", value)])
    assert "abc" not in str(raised.value)


def test_credentials_sent_twice_are_refused():
    # This host might use one of the headers, and a backend server the other one.
    with pytest.raises(CredentialsError):
        read_key([(b"authorization", b"Bearer a"), (b"authorization", b"Bearer a")])


def test_the_scheme_of_a_key_is_read_in_any_case():
    assert read_key([(b"authorization", b"bearer  abc.-_~+/==")]) == "abc.-_~+/=="
    assert read_key([(b"host", b"a")]) == ""


def test_debts_and_credit_stay_within_the_bound():
    bound = QuotaBound(5.0, 0.1, 20.0)
    for quota in (Quota(1.6, 1.6), Quota(198.0, 198.0), Quota(5.0, 0.0)):
        for holders in (1, 2, 7, 12):
            debts = holders * bound.max_debt_per_host(quota, holders)
            max_credit_saved = bound.max_credit(quota)
            assert max_credit_saved + quota.rate * 5.0 + debts <= bound.max_per_window(
                quota
            )
        assert bound.max_debt_per_host(quota, 12) >= 1
