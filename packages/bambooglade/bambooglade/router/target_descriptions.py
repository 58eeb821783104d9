"""Describes the targets to operators, with their state at this instance."""

from __future__ import annotations

from collections.abc import Iterator

from bambooglade.router import operator_messages as messages
from bambooglade.router import target_directory
from bambooglade.targets import chooser

READY = "ready"


def describe(
    directory: target_directory.TargetDirectory,
) -> Iterator[messages.TargetDescription]:
    """Yields descriptions of the targets of all services."""
    return (
        _description(candidate)
        for service in directory.services()
        for candidate in directory.candidates(service)
    )


def _description(candidate: chooser.Candidate) -> messages.TargetDescription:
    target = candidate.target
    return messages.TargetDescription(
        target_id=target.target_id,
        service=target.service,
        availability_zone=target.availability_zone,
        url=target.url,
        state=candidate.excluded or READY,
        weight=candidate.weight,
        reported_load=candidate.load,
    )
