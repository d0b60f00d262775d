"""Routes: host name, longest prefix, home regions."""

from lacewingcross.core.routes import (
    CallerLimits,
    Configuration,
    Part,
    Route,
    RouteTable,
)


def route(name, host_name="a.example", prefix="/", homes=()):
    return Route(
        name=name,
        host_name=host_name,
        prefix=prefix,
        repeatable=True,
        parts=(Part("calendar", 1.0),),
        timeout_s=1.0,
        target_s=0.2,
        max_attempts=2,
        priority=1,
        affinity=True,
        home_regions=frozenset(homes),
    )


def table(*routes):
    return RouteTable(Configuration(1, tuple(routes), {}, CallerLimits()))


def test_the_longest_prefix_of_the_host_name_wins():
    found = table(
        route("short", prefix="/a/"),
        route("long", prefix="/a/b/"),
        route("other", host_name="b.example", prefix="/a/b/c/"),
    )
    assert found.match("a.example", "/a/b/c/d").name == "long"
    assert found.match("a.example", "/a/x").name == "short"


def test_a_prefix_is_not_matched_in_the_middle_of_a_segment():
    assert table(route("r", prefix="/a/")).match("a.example", "/ab/") is None
    assert table(route("r", prefix="/a/")).match("c.example", "/a/") is None


def test_home_regions_of_a_host_name_are_those_of_all_its_bound_routes():
    found = table(
        route("free"),
        route("bound", prefix="/b/", homes=("norte", "centro")),
        route("tight", prefix="/c/", homes=("norte",)),
    )
    assert found.home_regions("a.example") == {"norte"}
    assert found.home_regions("unknown.example") == frozenset()
