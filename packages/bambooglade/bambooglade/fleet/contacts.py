"""Addresses through which an instance joins the fleet or heals a partition."""

from __future__ import annotations

from collections.abc import Iterable
import random

from bambooglade.core import identifiers
from bambooglade.fleet import members as members_lib

_URL_PREFIX = "url:"


class Contacts:
    """Seed URLs from the settings and URLs from the platform's instance list.

    A new instance has no other addresses. Two sides of a partition that have
    declared each other dead find each other again through them.

    Args:
        own_url: Base URL of this instance.
        seeds: Base URLs from the settings.
    """

    __slots__ = ("_listed_urls", "_own_url", "_seeds")

    def __init__(self, *, own_url: str, seeds: Iterable[str]) -> None:
        self._own_url = own_url
        self._seeds = tuple(seeds)
        self._listed_urls: tuple[str, ...] = ()

    def set_listed_urls(self, urls: Iterable[str]) -> None:
        """Replaces the URLs from the platform's instance list."""
        self._listed_urls = tuple(urls)

    def choose(
        self,
        members: members_lib.Members,
        own_id: identifiers.InstanceId,
        random_source: random.Random,
    ) -> identifiers.InstanceId | None:
        """Returns a random unknown address or dead member, or None.

        A dead member is a candidate only if it did not announce that it leaves
        and no live member has its URL.
        """
        live_urls = {member.update.url for member in members.live()}
        unknown_ids = {
            contact_id(url)
            for url in (*self._seeds, *self._listed_urls)
            if url not in live_urls and url != self._own_url
        }
        dead_ids = {
            member.update.instance_id
            for member in members.all()
            if not member.is_live
            and not member.update.leaving
            and member.update.instance_id != own_id
            and member.update.url not in live_urls
        }
        candidates = sorted(unknown_ids | dead_ids)
        return random_source.choice(candidates) if candidates else None

    def __repr__(self) -> str:
        return (
            f"Contacts(seeds={len(self._seeds)}, "
            f"listed={len(self._listed_urls)})"
        )


def contact_id(url: str) -> identifiers.InstanceId:
    """Returns a placeholder id for the instance at a URL.

    It is used to send a message when the id of the instance is not known.

    Examples:
        >>> contact_url(contact_id("http://127.0.0.1:8001"))
        'http://127.0.0.1:8001'
    """
    return identifiers.InstanceId(f"{_URL_PREFIX}{url}")


def contact_url(instance_id: identifiers.InstanceId) -> str | None:
    """Returns the URL in a placeholder id, or None for other ids."""
    if not instance_id.startswith(_URL_PREFIX):
        return None
    return instance_id.removeprefix(_URL_PREFIX)
