"""The faults that the policies are measured under."""

from __future__ import annotations

import enum

import msgspec


class Action(enum.Enum):
    """What happens at a moment of a case."""

    CUT_ZONE = "cut_zone"
    HEAL = "heal"
    SERVICE_DOWN = "service_down"
    SERVICE_UP = "service_up"
    LOSE_ANSWERS = "lose_answers"
    PAUSE = "pause"
    WAKE = "wake"
    KILL = "kill"
    START = "start"
    TOP_UP = "top_up"


class Event(msgspec.Struct, frozen=True, kw_only=True):
    """One moment of a case.

    Attributes:
        at: When, as a share of the duration of the run.
        action: What happens.
        zone: Number of the zone that it happens to.
        amount: Share of lost answers; for a top-up the share of the first
            prepaid amount of each budget, in `edits` edits that race.
    """

    at: float
    action: Action
    zone: int = 0
    amount: float = 0.0
    edits: int = 1


class Case(msgspec.Struct, frozen=True, kw_only=True):
    """A course of faults.

    Attributes:
        cuts_zones: Whether zones are cut off, so that a policy that only
            reconciles afterwards must overspend.
    """

    name: str
    events: tuple[Event, ...]
    cuts_zones: bool = False


_CUT = (
    Event(at=0.15, action=Action.CUT_ZONE, zone=1),
    Event(at=0.90, action=Action.HEAL),
)
_TOP_UPS = (
    Event(at=0.45, action=Action.TOP_UP, amount=0.15),
    Event(at=0.60, action=Action.TOP_UP, amount=0.15),
)
_DOWN = (
    Event(at=0.20, action=Action.SERVICE_DOWN),
    Event(at=0.85, action=Action.SERVICE_UP),
)
_PAUSE = (
    Event(at=0.30, action=Action.PAUSE, zone=0),
    Event(at=0.60, action=Action.WAKE, zone=0),
)
_DEATHS = (
    Event(at=0.25, action=Action.KILL, zone=0),
    Event(at=0.30, action=Action.START, zone=0),
    Event(at=0.45, action=Action.KILL, zone=1),
    Event(at=0.50, action=Action.START, zone=1),
    Event(at=0.65, action=Action.KILL, zone=2),
    Event(at=0.70, action=Action.START, zone=2),
)
_LOST = (
    Event(at=0.05, action=Action.LOSE_ANSWERS, amount=0.3),
    Event(at=0.95, action=Action.LOSE_ANSWERS, amount=0.0),
)
_RACING = tuple(
    Event(at=0.1 * number, action=Action.TOP_UP, amount=0.02, edits=4)
    for number in range(1, 10)
)

CASES = (
    Case(name="calm", events=()),
    Case(name="zone_cut_off", events=_CUT + _TOP_UPS, cuts_zones=True),
    Case(name="service_down", events=_DOWN),
    Case(name="lost_answers", events=_LOST),
    Case(name="paused_holder", events=_PAUSE),
    Case(name="instances_die", events=_DEATHS),
    Case(name="racing_edits", events=_RACING),
    Case(
        name="cut_off_and_deaths",
        events=_CUT + _TOP_UPS + _DEATHS,
        cuts_zones=True,
    ),
    Case(name="down_and_paused", events=_DOWN + _PAUSE),
)

ZONE_LOST = Case(
    name="zone_lost",
    events=(
        Event(at=0.30, action=Action.KILL, zone=1),
        Event(at=0.30, action=Action.KILL, zone=1),
        Event(at=0.35, action=Action.START, zone=1),
        Event(at=0.35, action=Action.START, zone=1),
    ),
)
"""All instances of a zone die at once: what lies there is held."""
