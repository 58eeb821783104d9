"""Addresses of instances that are not known, or believed to be dead."""

from __future__ import annotations

from collections.abc import Iterable
import random

from bambooglade.core import identifiers
from bambooglade.fleet import members as members_

_PREFIX = "url:"


class Contacts:
    """Seeds of the settings and entries of the platform's list.

    Without them two parts of a fleet that lost each other, or a new instance,
    would not find the rest.
    """

    __slots__ = ("_listed", "_own_url", "_seeds")

    def __init__(self, *, own_url: str, seeds: Iterable[str]) -> None:
        self._own_url = own_url
        self._seeds = tuple(seeds)
        self._listed: tuple[str, ...] = ()

    def set_listed_urls(self, urls: Iterable[str]) -> None:
        """Replaces the addresses that the platform lists."""
        self._listed = tuple(urls)

    def choose(
        self,
        members: members_.Members,
        own_id: identifiers.InstanceId,
        random_source: random.Random,
    ) -> identifiers.InstanceId | None:
        """Returns whom to contact next: an unknown address or a dead member."""
        live_urls = {member.update.url for member in members.live()}
        unknown = {
            contact_id(url)
            for url in (*self._seeds, *self._listed)
            if url not in live_urls and url != self._own_url
        }
        dead = {
            member.update.instance_id
            for member in members.all()
            if not member.is_live
            and not member.update.leaving
            and member.update.instance_id != own_id
            and member.update.url not in live_urls
        }
        candidates = sorted(unknown | dead)
        return random_source.choice(candidates) if candidates else None

    def __repr__(self) -> str:
        return f"Contacts(seeds={len(self._seeds)}, listed={len(self._listed)})"


def contact_id(url: str) -> identifiers.InstanceId:
    """Returns a name for whichever instance answers at an address.

    Examples:
        >>> contact_url(contact_id("http://127.0.0.1:8001"))
        'http://127.0.0.1:8001'
    """
    return identifiers.InstanceId(f"{_PREFIX}{url}")


def contact_url(instance_id: identifiers.InstanceId) -> str | None:
    """Returns the address in such a name, or None for other names."""
    if not instance_id.startswith(_PREFIX):
        return None
    return instance_id.removeprefix(_PREFIX)
