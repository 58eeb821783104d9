"""Assembles the decisions of an instance that finds the others by itself."""

from __future__ import annotations

import dataclasses
import random

from bambooglade.core import identifiers
from bambooglade.fleet import membership as memberships
from bambooglade.operations import retention as retentions
from bambooglade.router import assembly
from bambooglade.shards import assignments
from bambooglade.table import checks
from bambooglade.table import replica as replicas
from bambooglade.table import synchronization
from bambooglade.targets import leaving
from bambooglade.targets import leaving_gossip


@dataclasses.dataclass(slots=True)
class NetworkedParts:
    """The decisions of an instance that finds the others by itself.

    Attributes:
        parts: The decisions on budgets and calls.
        membership: What it believes about the fleet.
        table: The rows in force.
        leaving_targets: Signs of leaving; shared with the routing.
    """

    parts: assembly.Parts
    membership: memberships.Membership
    table: replicas.TableReplica
    leaving_targets: leaving.LeavingTargets


def assemble(
    identity: assembly.Identity,
    *,
    url: str,
    seeds: tuple[str, ...],
    page_count: int,
    granted_out: checks.GrantedTokensLookup,
    retention: retentions.Retention,
) -> NetworkedParts:
    """Returns the decisions of a router process.

    Args:
        identity: Who the instance is.
        url: Base URL by which the others reach it.
        seeds: Base URLs of instances to ask first.
        page_count: Number of pages of the table.
        granted_out: Looks up what is granted out of an account.
        retention: How long records of keys are kept.
    """
    random_source = random.Random()
    assignment_map = assignments.AssignmentMap()
    membership = memberships.Membership(
        instance_id=identity.instance_id,
        availability_zone=identity.availability_zone,
        url=url,
        seeds=seeds,
        assignment_map=assignment_map,
        random_source=random_source,
    )
    table = _table(membership, random_source, page_count, granted_out)
    leaving_targets = leaving.LeavingTargets()
    gossip = leaving_gossip.LeavingGossip(
        instance_id=identity.instance_id,
        availability_zones=_own_zone_first(identity),
        fleet=membership,
        registry=leaving_targets,
        seed=random_source.getrandbits(32),
    )
    parts = assembly.assemble(
        identity,
        assignment_map=assignment_map,
        fleet=membership,
        table=table,
        retention=retention,
        others=(membership, table, gossip),
    )
    return NetworkedParts(
        parts=parts,
        membership=membership,
        table=table,
        leaving_targets=leaving_targets,
    )


def _table(
    membership: memberships.Membership,
    random_source: random.Random,
    page_count: int,
    granted_out: checks.GrantedTokensLookup,
) -> replicas.TableReplica:
    table = replicas.TableReplica(
        peers=membership.peers,
        random_source=random_source,
        page_count=page_count,
        summary_period_ms=synchronization.SUMMARY_PERIOD_WITH_PINGS_MS,
        check=lambda row, written: checker.check(row, written),
    )
    checker = checks.Checker(table, granted_tokens=granted_out)
    membership.attach_table(table)
    return table


def _own_zone_first(
    identity: assembly.Identity,
) -> tuple[identifiers.AvailabilityZone, ...]:
    own = identity.availability_zone
    others = (zone for zone in identity.arbiter_zones if zone != own)
    return (own, *others)
