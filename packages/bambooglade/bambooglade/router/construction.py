"""Builds the components of a router process from its settings."""

from __future__ import annotations

from collections.abc import Sequence
import random
import uuid

from bambooglade.core import clock as clocks
from bambooglade.core import effects
from bambooglade.core import identifiers
from bambooglade.operations import retention as retentions
from bambooglade.router import application
from bambooglade.router import assembly
from bambooglade.router import granted_tokens_cache
from bambooglade.router import networked_assembly
from bambooglade.router import runtime as runtimes
from bambooglade.router import settings as settings_lib
from bambooglade.store import call_budget
from bambooglade.store import key_value
from bambooglade.store import prefix_watch
from bambooglade.table import pages
from bambooglade.table import replica as replicas
from bambooglade.transport import limits
from bambooglade.transport import message_budget as message_budget_lib
from bambooglade.transport import server as server_lib

THREAD_MB = 0.06
"""Memory that a thread takes that serves requests, without their bodies.

200 of them took 13 MB.
"""

STOP_TIMEOUT_MS = 2_000
"""How long a stopping process waits for each of its threads."""


def new_instance_id(name: str) -> identifiers.InstanceId:
    """Returns a unique id for one start of the named instance."""
    return identifiers.InstanceId(f"{name}-{uuid.uuid4().hex[:8]}")


def server(
    app: application.Application,
    settings: settings_lib.Settings,
    clock: clocks.Clock,
    message_budget: message_budget_lib.MessageBudget,
) -> server_lib.HttpServer:
    """Returns an HTTP server that is bound to its address but not started."""
    security = settings.security
    tls = None
    if security.certificate_file and security.key_file:
        tls = server_lib.TlsFiles(
            certificate_file=security.certificate_file,
            key_file=security.key_file,
        )
    return server_lib.HttpServer(
        app,
        host=settings.instance.host,
        port=settings.instance.port,
        limits=server_limits(settings.limits),
        tls=tls,
        clock=clock,
        budget=message_budget,
    )


def message_budget(
    settings: settings_lib.Settings, clock: clocks.Clock
) -> message_budget_lib.MessageBudget:
    """Returns the budget of the bytes of requests of the process."""
    built = message_budget_lib.MessageBudget(now_ms=clock.now_ms)
    built.set_memory(memory_without_threads_mb(settings.limits))
    return built


def memory_without_threads_mb(configured: settings_lib.LimitSettings) -> float:
    """Returns the memory of the process but for that of all its threads."""
    return configured.memory_mb - THREAD_MB * configured.request_threads


def server_limits(
    configured: settings_lib.LimitSettings,
) -> limits.ServerLimits:
    """Returns the limits that the HTTP server enforces."""
    return limits.ServerLimits(
        max_head_bytes=configured.max_header_bytes,
        max_body_bytes=configured.max_body_bytes,
        max_connections=configured.max_connections,
        max_threads=configured.request_threads,
        head_timeout_ms=configured.slow_client_timeout_ms,
        body_timeout_ms=configured.slow_client_timeout_ms,
        write_timeout_ms=configured.slow_client_timeout_ms,
        stop_timeout_ms=STOP_TIMEOUT_MS,
    )


def networked(
    instance_id: identifiers.InstanceId,
    url: str,
    *,
    settings: settings_lib.Settings,
    granted_tokens: granted_tokens_cache.GrantedTokensCache,
) -> networked_assembly.NetworkedComponents:
    """Returns the components of the instance that the settings describe."""
    instance = settings.instance
    scheme = "https" if settings.security.uses_tls else "http"
    identity = assembly.Identity(
        instance_id=instance_id,
        availability_zone=identifiers.AvailabilityZone(
            instance.availability_zone
        ),
        arbiter_zones=tuple(
            map(identifiers.AvailabilityZone, instance.arbiter_zones)
        ),
        shard_count=instance.shard_count,
    )
    return networked_assembly.assemble(
        identity,
        url=url,
        seeds=tuple(f"{scheme}://{seed}" for seed in instance.seeds),
        page_count=instance.table_page_count,
        granted_tokens=granted_tokens,
        retention=retentions.Retention(
            non_repeatable_ms=settings.limits.key_retention_ms
        ),
    )


def store(settings: settings_lib.Settings) -> key_value.HttpKeyValueStore:
    """Returns the client of the key-value service."""
    return key_value.HttpKeyValueStore(
        url=settings.platform.key_value_url or ""
    )


def budget(
    settings: settings_lib.Settings,
    random_source: random.Random,
    clock: clocks.Clock,
) -> call_budget.CallBudget:
    """Returns the budget of calls to the key-value service."""
    return call_budget.CallBudget(
        random_source=random_source,
        now_ms=clock.now_ms(),
        limit=call_budget.CallRate(
            reads_per_s=settings.platform.reads_per_s,
            writes_per_s=settings.platform.writes_per_s,
        ),
    )


def watch(
    store: key_value.HttpKeyValueStore,
    runtime: runtimes.Runtime,
    table: replicas.TableReplica,
    random_source: random.Random,
) -> prefix_watch.PrefixWatch:
    """Returns a watch of the pages of the table; it is not started."""

    def apply_snapshot(values: Sequence[effects.DocumentRead]) -> None:
        """Applies a snapshot of all pages to the table."""
        runtime.decide(lambda now_ms: table.apply_snapshot(values, now_ms))

    return prefix_watch.PrefixWatch(
        store=store,
        client=runtime.documents,
        prefix=f"{pages.KEY_PREFIX}/",
        on_snapshot=apply_snapshot,
        on_change=runtime.handle_document_response,
        random_source=random_source,
    )
