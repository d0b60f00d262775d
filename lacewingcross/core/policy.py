"""Mechanisms of placing that can be switched off, to measure what each is worth."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Policy:
    """Switches of single mechanisms; all are on unless an experiment says otherwise.

    Attributes
    ----------
    fastest : bool
        Take the server that would answer first, not the first with room.
    local_home : bool
        Give each key a second home in the host's own region.
    stay_warm : bool
        Keep keys at servers that know them when their homes change.
    idle_home : bool
        Let a home that stands idle take its keys over.
    kinds_apart : bool
        Tell objects of two kinds with the same key apart.
    warmth_told : bool
        Go by what other hosts tell of keys that servers know.
    warm_waits : bool
        Let requests wait longer at a server that knows their object.
    urgent_waits : bool
        Let requests of an urgent kind wait where others are refused.
    failing_alike : bool
        Pass over no server for failing when all of its service fail.
    reserve_regions : bool
        Leave regions to the requests that are bound to them.
    shed_back_soon : bool
        Ask callers back at once whose request a server with free slots has shed.
    """

    fastest: bool = True
    local_home: bool = True
    stay_warm: bool = True
    idle_home: bool = True
    kinds_apart: bool = True
    warmth_told: bool = True
    warm_waits: bool = True
    urgent_waits: bool = True
    failing_alike: bool = True
    reserve_regions: bool = True
    shed_back_soon: bool = True
