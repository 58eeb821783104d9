"""Assembles the decisions of one instance from the aggregates' components."""

from __future__ import annotations

import dataclasses
import random

import msgspec

from bambooglade.budgets import account_book_factory
from bambooglade.budgets import inquiries
from bambooglade.core import component
from bambooglade.core import identifiers
from bambooglade.fleet import membership as memberships
from bambooglade.fleet import view as fleet_view
from bambooglade.operations import claim_book_factory
from bambooglade.operations import coordinator as coordinators
from bambooglade.operations import retention as retentions
from bambooglade.router import state_machine
from bambooglade.shards import assignments
from bambooglade.shards import host as hosts
from bambooglade.table import checks
from bambooglade.table import replica as replicas
from bambooglade.table import synchronization
from bambooglade.table import view as table_view
from bambooglade.targets import leaving
from bambooglade.targets import leaving_gossip

_RETENTION = retentions.Retention()


class Identity(msgspec.Struct, frozen=True, kw_only=True):
    """Who an instance is, and what all instances agree on by their settings.

    Attributes:
        instance_id: This start of the process.
        availability_zone: Where it runs.
        arbiter_zones: Zones that decide on request keys.
        shard_count: Number of shards.
    """

    instance_id: identifiers.InstanceId
    availability_zone: identifiers.AvailabilityZone
    arbiter_zones: tuple[identifiers.AvailabilityZone, ...]
    shard_count: int


@dataclasses.dataclass(slots=True)
class Parts:
    """The decisions of one instance."""

    identity: Identity
    machine: state_machine.InstanceStateMachine
    coordinator: coordinators.Coordinator
    host: hosts.ShardHost
    inquiries: inquiries.Inquiries
    assignment_map: assignments.AssignmentMap

    @property
    def instance_id(self) -> identifiers.InstanceId:
        """Returns the id of the instance."""
        return self.identity.instance_id


def assemble(
    identity: Identity,
    *,
    assignment_map: assignments.AssignmentMap,
    fleet: fleet_view.FleetView,
    table: table_view.TableView,
    retention: retentions.Retention = _RETENTION,
    others: tuple[component.Component, ...] = (),
) -> Parts:
    """Returns the decisions on budgets and calls, with further components.

    Args:
        identity: Who the instance is.
        assignment_map: Cache of the shards' assignments.
        fleet: What the instance believes about the others.
        table: The rows in force.
        retention: How long records of keys are kept.
        others: Components that run in the same state machine.
    """
    host = hosts.ShardHost(
        instance_id=identity.instance_id,
        availability_zone=identity.availability_zone,
        shard_count=identity.shard_count,
        assignment_map=assignment_map,
        fleet=fleet,
        book_factories=(
            account_book_factory.AccountBookFactory(
                assignment_map=assignment_map,
                table=table,
                zone_count=len(identity.arbiter_zones),
            ),
            claim_book_factory.ClaimBookFactory(retention=retention),
        ),
    )
    coordinator = coordinators.Coordinator(
        instance_id=identity.instance_id,
        availability_zone=identity.availability_zone,
        arbiter_zones=identity.arbiter_zones,
        shard_count=identity.shard_count,
        assignment_map=assignment_map,
        fleet=fleet,
    )
    questions = inquiries.Inquiries(
        shard_count=identity.shard_count, assignment_map=assignment_map
    )
    machine = state_machine.InstanceStateMachine(
        (host, coordinator, questions, *others)
    )
    return Parts(
        identity=identity,
        machine=machine,
        coordinator=coordinator,
        host=host,
        inquiries=questions,
        assignment_map=assignment_map,
    )


@dataclasses.dataclass(slots=True)
class NetworkedParts:
    """The decisions of an instance that finds the others by itself."""

    parts: Parts
    membership: memberships.Membership
    table: replicas.TableReplica
    leaving_targets: leaving.LeavingTargets


def assemble_networked(
    identity: Identity,
    *,
    url: str,
    seeds: tuple[str, ...],
    page_count: int,
    granted_out: checks.GrantedOut,
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
    table = replicas.TableReplica(
        peers=membership.peers,
        random_source=random_source,
        page_count=page_count,
        summary_period_ms=synchronization.CARRIED_SUMMARY_PERIOD_MS,
        check=lambda row, written: checker.check(row, written),
    )
    membership.carry(table)
    checker = checks.Checker(table, granted_out=granted_out)
    leaving_targets = leaving.LeavingTargets()
    gossip = leaving_gossip.LeavingGossip(
        instance_id=identity.instance_id,
        availability_zones=_own_zone_first(identity),
        fleet=membership,
        registry=leaving_targets,
        seed=random_source.getrandbits(32),
    )
    parts = assemble(
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


def _own_zone_first(
    identity: Identity,
) -> tuple[identifiers.AvailabilityZone, ...]:
    own = identity.availability_zone
    others = (zone for zone in identity.arbiter_zones if zone != own)
    return (own, *others)
