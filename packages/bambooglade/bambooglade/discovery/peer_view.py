"""Instances tell each other what they know, when the store does not answer.

A store that turns an instance away may serve the others: what they have
learnt has to reach it all the same.
"""

from __future__ import annotations

from concurrent import futures
import random

import msgspec

from bambooglade.core import event_log
from bambooglade.discovery import peers as peers_lib
from bambooglade.discovery import view as view_lib
from bambooglade.eventloop import http_client
from bambooglade.eventloop import loop as loop_lib
from bambooglade.eventloop import tasks
from bambooglade.store import contact as contact_lib
from bambooglade.store import port

VIEW_PATH = "/v1/view"
PULL_TIMEOUT_MS = 500
"""Limit on one pull; peers answer within a few milliseconds."""

PULL_PAUSE_MS = 400
"""Pause between two pulls while the store is away."""

IDLE_PAUSE_MS = 250
"""Time between two looks at whether the store is away."""

_OK = 200
_TEXT_ENCODING = "latin-1"


class KnownItem(msgspec.Struct, frozen=True, array_like=True):
    """An item with its bytes as text of one character a byte."""

    key: str
    value: str
    revision: int


class ViewRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Asks for what is newer than the own view.

    Attributes:
        configuration_revision: Revision of the own configuration; 0 for none.
        targets_revision: Revision of the own list of targets; 0 for none.
        asker: Who asks.
    """

    configuration_revision: int
    targets_revision: int
    asker: peers_lib.Peer


class ViewAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """What is newer.

    Attributes:
        configuration: The configuration; None if it is not newer.
        targets: All targets; None if the list is not newer.
        targets_revision: Revision as of which the targets are complete.
        peers: Instances that are known.
    """

    configuration: KnownItem | None = None
    targets: list[KnownItem] | None = None
    targets_revision: int = 0
    peers: list[peers_lib.Peer] = []


def answer(
    request: ViewRequest,
    view: view_lib.FleetView,
    known_peers: list[peers_lib.Peer],
) -> ViewAnswer:
    """Returns what the asker does not know yet."""
    item = view.configuration_item
    is_newer = item and item.revision > request.configuration_revision
    targets = None
    if view.targets_revision > request.targets_revision:
        targets = [_known(item) for item in view.target_items()]
    return ViewAnswer(
        configuration=_known(item) if is_newer else None,
        targets=targets,
        targets_revision=view.targets_revision,
        peers=known_peers,
    )


class PeerPuller:
    """Pulls from peers while the store is away.

    Args:
        loop: The event loop.
        client: Calls the peers.
        view: Takes what is newer.
        peers: The known peers.
        own: This instance, as peers know it.
        seeds: Addresses to ask while no peers are known.
        contact: Tells whether the store is away.
        log: Told of answers that can't be read.
        random_source: Chooses the peers.
    """

    __slots__ = (
        "_client",
        "_contact",
        "_is_stopped",
        "_log",
        "_loop",
        "_own",
        "_peers",
        "_random",
        "_seeds",
        "_view",
    )

    def __init__(
        self,
        loop: loop_lib.EventLoop,
        client: http_client.HttpClient,
        view: view_lib.FleetView,
        *,
        peers: peers_lib.PeerList,
        own: peers_lib.Peer,
        seeds: tuple[tuple[str, int], ...],
        contact: contact_lib.Contact,
        log: event_log.EventLog,
        random_source: random.Random,
    ) -> None:
        self._loop = loop
        self._client = client
        self._view = view
        self._peers = peers
        self._own = own
        self._seeds = seeds
        self._contact = contact
        self._log = log
        self._random = random_source
        self._is_stopped = False

    def start(self) -> None:
        """Starts to look after the view."""
        tasks.spawn(self._run())

    def stop(self) -> None:
        """Ends after the call that is under way."""
        self._is_stopped = True

    def _run(self) -> tasks.Task:
        while not self._is_stopped:
            if not self._contact.is_lost:
                yield tasks.sleep(self._loop, IDLE_PAUSE_MS)
                continue
            address = self._pick()
            if address is not None:
                yield from self._pull(address)
            yield tasks.sleep(
                self._loop, PULL_PAUSE_MS * (0.5 + self._random.random())
            )

    def _pick(self) -> tuple[str, int] | None:
        known = [p.address for p in self._peers.all(now_ms=self._loop.now_ms())]
        seeds = [s for s in self._seeds if s != self._own.address]
        candidates = known or seeds
        return self._random.choice(candidates) if candidates else None

    def _pull(self, address: tuple[str, int]) -> tasks.Task:
        item = self._view.configuration_item
        request = ViewRequest(
            configuration_revision=item.revision if item else 0,
            targets_revision=self._view.targets_revision,
            asker=self._own,
        )
        response: http_client.Response | None = yield self._call(
            address, request
        )
        if response is None or response.status != _OK:
            return
        try:
            decoded = msgspec.json.decode(response.body, type=ViewAnswer)
        except msgspec.DecodeError as error:
            self._log.event(
                "peer_answer_malformed", peer=address[0], error=error
            )
            return
        self._take(decoded, address[0])

    def _call(
        self, address: tuple[str, int], request: ViewRequest
    ) -> futures.Future:
        return self._client.call(
            address,
            method="POST",
            target=VIEW_PATH,
            body=msgspec.json.encode(request),
            timeout_ms=PULL_TIMEOUT_MS,
        )

    def _take(self, decoded: ViewAnswer, peer: str) -> None:
        now_ms = self._loop.now_ms()
        source = f"peer:{peer}"
        self._peers.heard_of(decoded.peers, now_ms=now_ms)
        if decoded.configuration is not None:
            self._view.take_configuration(
                _item(decoded.configuration), source=source
            )
        if decoded.targets is not None:
            self._view.take_all_targets(
                [_item(known) for known in decoded.targets],
                at_revision=decoded.targets_revision,
                now_ms=now_ms,
                source=source,
            )

    def __repr__(self) -> str:
        return f"PeerPuller(contact={self._contact!r})"


def _known(item: port.Item) -> KnownItem:
    return KnownItem(item.key, item.value.decode(_TEXT_ENCODING), item.revision)


def _item(known: KnownItem) -> port.Item:
    return port.Item(
        known.key, known.value.encode(_TEXT_ENCODING), known.revision
    )
