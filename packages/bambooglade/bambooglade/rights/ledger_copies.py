"""Keeps copies of the ledgers that an instance writes at other instances.

A store that returns from an older copy has lost the latest ledgers, and an
instance that is gone by then can't write them back. The instances that hold a
copy do so in its place. Nothing waits for the copies: until they arrive, a few
milliseconds after the write, only this instance and the store know it.

The other homes of a team get copies too. Each of them would otherwise learn
from a conflict that the ledger has changed, which costs a call to the store for
each of its writes.

See Also:
    bambooglade.rights.ledger_recovery: writes the copies back.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from concurrent import futures

import msgspec

from bambooglade.discovery import peers as peers_lib
from bambooglade.eventloop import http_client
from bambooglade.eventloop import tasks
from bambooglade.rights import ledger as ledger_lib

PATH = "/v1/ledger-copies"

COPIES = 2
"""Instances that get a copy, one of them in the own availability zone.

The homes of the teams get copies besides.
"""

MAX_CALLS = 4
"""Most instances that are tried for one message."""

CALL_TIMEOUT_MS = 300
"""Timeout of one call; peers respond within a few milliseconds."""

_OK = 200


class LedgerCopy(msgspec.Struct, frozen=True, array_like=True):
    """A ledger as an instance has written it.

    Attributes:
        team: Name of the team.
        ledger: The ledger.
        revision: Revision of the write.
        store_era: Era of the store to which the revision belongs.
    """

    team: str
    ledger: ledger_lib.Ledger
    revision: int
    store_era: int


class CopiesMessage(msgspec.Struct, frozen=True, kw_only=True):
    """Ledgers that the sender has written."""

    copies: list[LedgerCopy]
    sender: peers_lib.Peer


class LedgerCopier:
    """Sends each ledger that this instance writes to a few peers.

    While a message is under way, only the newest state of each ledger waits.

    Args:
        client: HTTP client for calls to peers.
        peers: Returns the known peers.
        local_instance: Entry of this instance.
        homes_of: Returns the homes of a team.
    """

    __slots__ = (
        "_client",
        "_homes_of",
        "_is_sending",
        "_local_instance",
        "_peers",
        "_unsent_copy_by_team",
    )

    def __init__(
        self,
        client: http_client.HttpClient,
        *,
        peers: Callable[[], list[peers_lib.Peer]],
        local_instance: peers_lib.Peer,
        homes_of: Callable[[str], list[peers_lib.Peer]] = lambda _: [],
    ) -> None:
        self._homes_of = homes_of
        self._client = client
        self._peers = peers
        self._local_instance = local_instance
        self._unsent_copy_by_team: dict[str, LedgerCopy] = {}
        self._is_sending = False

    def send(self, copies: Iterable[LedgerCopy]) -> None:
        """Sends ledgers that were just written."""
        self._unsent_copy_by_team.update((copy.team, copy) for copy in copies)
        if not self._is_sending:
            self._is_sending = True
            tasks.spawn(self._send_all())

    def _send_all(self) -> tasks.Task:
        try:
            while self._unsent_copy_by_team:
                copies = list(self._unsent_copy_by_team.values())
                self._unsent_copy_by_team.clear()
                yield from self._send_message(copies)
        finally:
            self._is_sending = False

    def _send_message(self, copies: list[LedgerCopy]) -> tasks.Task:
        """Sends a message until as many peers as needed have it.

        Homes get it once; the ones that it does not reach notice a conflict.
        """
        body = msgspec.json.encode(
            CopiesMessage(copies=copies, sender=self._local_instance)
        )
        receivers = rank_receivers(self._local_instance, self._peers())
        missing = min(COPIES, len(receivers))
        first_names = {peer.name for peer in receivers[:missing]}
        for home in self._other_homes(copies):
            if home.name not in first_names:
                self._call(home, body)
        while missing > 0 and receivers:
            calls = [self._call(peer, body) for peer in receivers[:missing]]
            receivers = receivers[missing:]
            for call in calls:
                response = yield call
                missing -= response is not None and response.status == _OK

    def _other_homes(
        self, copies: Iterable[LedgerCopy]
    ) -> Iterable[peers_lib.Peer]:
        """Returns the homes of the copied ledgers, without this instance."""
        home_by_name = {
            home.name: home
            for copy in copies
            for home in self._homes_of(copy.team)
        }
        home_by_name.pop(self._local_instance.name, None)
        return home_by_name.values()

    def _call(self, peer: peers_lib.Peer, body: bytes) -> futures.Future:
        return self._client.call(
            peer.address,
            method="POST",
            target=PATH,
            body=body,
            timeout_ms=CALL_TIMEOUT_MS,
        )

    def __repr__(self) -> str:
        return f"LedgerCopier(unsent={len(self._unsent_copy_by_team)})"


def rank_receivers(
    local_instance: peers_lib.Peer, peers: Iterable[peers_lib.Peer]
) -> list[peers_lib.Peer]:
    """Returns the peers that get copies, in the order in which they are tried.

    The first is in the own availability zone, since bytes between zones are
    paid for, and the next ones are in others, which may outlast the own one.

    Examples:
        >>> def peer(name, zone):
        ...     return peers_lib.Peer(name=name, incarnation="1",
        ...         host="10.0.0.1", port=1, availability_zone=zone)
        >>> fleet = [peer("b", "x"), peer("c", "x"), peer("d", "y")]
        >>> ranked = rank_receivers(peer("a", "x"), fleet)
        >>> [p.availability_zone for p in ranked]
        ['x', 'y', 'x']
    """
    by_zone = peers_lib.rank_by_zone(
        f"ledger-copies/{local_instance.name}", peers
    )
    own = by_zone.pop(local_instance.availability_zone, [])
    others = peers_lib.rank_across_zones(
        f"ledger-copies/{local_instance.name}",
        [peer for members in by_zone.values() for peer in members],
    )
    return [*own[:1], *others, *own[1:]][:MAX_CALLS]
