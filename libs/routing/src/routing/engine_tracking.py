"""Keeps the router up to date on engines: new incarnations, and which engines are cold.

Both are derived from the cluster state (the layout and the ledgers that this node follows), so
engines are scanned only when it has changed.  After a change of ledgers alone, only the engines
that it concerns are scanned, and no engine can have become cold.  The ramp of an engine on which
an attempt broke is restarted by `choice.note_broken_attempt`.
"""

from configuration import registry as registries
from placement import cluster_state, registry_view

from routing import choice, cold_engines

__all__ = ["update"]


def update(router, now_ms, cluster):
    """Note new incarnations and cold engines; does nothing if the cluster state is
    unchanged."""
    if router.seen_changes == cluster.changes:
        return
    names = _changed_engines(router, cluster)
    router.seen_changes = cluster.changes
    for engine in cluster_state.serving_engines(cluster, names):
        choice.note_incarnation(
            router, now_ms, engine["name"], cluster_state.incarnation(cluster, engine)
        )
    if names is not None:
        return
    cold_engines.update(
        router,
        now_ms,
        cluster.registry,
        registries.services(cluster.registry),
        lambda engine: registry_view.usable(cluster.registry, engine),
    )


def _changed_engines(router, cluster):
    """The engines changed since the last update, or None if any engine may have changed."""
    change = cluster.ledger_change
    if (
        change is None
        or change.number != cluster.changes
        or router.seen_changes != change.number - 1
    ):
        return None
    return change.engines
