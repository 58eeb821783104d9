"""Assembles the components of an instance that discovers its peers."""

from __future__ import annotations

import dataclasses
import random

from bambooglade.core import clock as clocks
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
from bambooglade.targets import suspicion_gossip


@dataclasses.dataclass(slots=True)
class NetworkedComponents:
    """The components of an instance that discovers its peers.

    Attributes:
        components: The state machine, and the components for budgets and calls.
        membership: The instance's view of the fleet.
        table: The rows in force.
        leaving_targets: Targets known to be leaving; shared with the routing.
        suspicions: Prompts on which targets crash; shared with the routing.
    """

    components: assembly.InstanceComponents
    membership: memberships.Membership
    table: replicas.TableReplica
    leaving_targets: leaving.LeavingTargets
    suspicions: suspicion_gossip.SharedSuspicions


def assemble(
    identity: assembly.Identity,
    *,
    url: str,
    seeds: tuple[str, ...],
    page_count: int,
    granted_tokens: checks.GrantedTokensLookup,
    retention: retentions.Retention,
) -> NetworkedComponents:
    """Returns the components of a router process.

    Args:
        identity: Identity of the instance.
        url: Base URL under which other instances reach this one.
        seeds: Base URLs of the instances to contact first.
        page_count: Number of pages of the table.
        granted_tokens: Returns the tokens granted out of an account.
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
    table = _build_table(membership, random_source, page_count, granted_tokens)
    leaving_targets = leaving.LeavingTargets()
    gossip = leaving_gossip.LeavingGossip(
        instance_id=identity.instance_id,
        availability_zones=_own_zone_first(identity),
        fleet=membership,
        registry=leaving_targets,
        seed=random_source.getrandbits(32),
    )
    suspicions = suspicion_gossip.SharedSuspicions(clocks.Clock())
    crash_gossip = suspicion_gossip.SuspicionGossip(
        instance_id=identity.instance_id,
        availability_zones=_own_zone_first(identity),
        fleet=membership,
        suspicions=suspicions,
        seed=random_source.getrandbits(32),
    )
    components = assembly.assemble(
        identity,
        assignment_map=assignment_map,
        fleet=membership,
        table=table,
        retention=retention,
        others=(membership, table, gossip, crash_gossip),
    )
    return NetworkedComponents(
        components=components,
        membership=membership,
        table=table,
        leaving_targets=leaving_targets,
        suspicions=suspicions,
    )


def _build_table(
    membership: memberships.Membership,
    random_source: random.Random,
    page_count: int,
    granted_tokens: checks.GrantedTokensLookup,
) -> replicas.TableReplica:
    table = replicas.TableReplica(
        peers=membership.peers,
        random_source=random_source,
        page_count=page_count,
        summary_period_ms=synchronization.SUMMARY_PERIOD_WITH_PINGS_MS,
        check=lambda row, written: checker.check(row, written),
    )
    checker = checks.Checker(table, granted_tokens=granted_tokens)
    membership.attach_table(table)
    return table


def _own_zone_first(
    identity: assembly.Identity,
) -> tuple[identifiers.AvailabilityZone, ...]:
    own = identity.availability_zone
    others = (zone for zone in identity.arbiter_zones if zone != own)
    return (own, *others)
