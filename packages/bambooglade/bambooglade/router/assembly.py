"""Assembles the decisions of one instance from the aggregates' components."""

from __future__ import annotations

import dataclasses

import msgspec

from bambooglade.budgets import account_registry_factory
from bambooglade.budgets import inquiries
from bambooglade.core import component
from bambooglade.core import identifiers
from bambooglade.fleet import view as fleet_view
from bambooglade.operations import claim_registry_factory
from bambooglade.operations import coordinator as coordinators
from bambooglade.operations import retention as retentions
from bambooglade.router import state_machine
from bambooglade.shards import assignments
from bambooglade.shards import host as hosts
from bambooglade.table import view as table_view

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
    accounts = account_registry_factory.AccountRegistryFactory(
        assignment_map=assignment_map,
        table=table,
        zone_count=len(identity.arbiter_zones),
        fleet=fleet,
    )
    claims = claim_registry_factory.ClaimRegistryFactory(retention=retention)
    host = hosts.ShardHost(
        instance_id=identity.instance_id,
        availability_zone=identity.availability_zone,
        shard_count=identity.shard_count,
        assignment_map=assignment_map,
        fleet=fleet,
        book_factories=(accounts, claims),
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
