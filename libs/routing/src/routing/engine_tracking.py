"""Keeps the router up to date on engines: new incarnations, and which engines are cold.

Both follow from the floor (the layout and the ledgers as this node follows them), so engines are
scanned only when it has changed.  After a change of ledgers alone, only the engines that it
concerns are scanned, and no engine can have become cold.  The ramp of an engine on which an
attempt broke is reset elsewhere (`choice.note_broken_attempt`).
"""

from configuration import registry as registries
from placement import cluster_state, registry_view

from routing import choice, cold_engines

__all__ = ["update"]


def update(router, now_ms, floor):
    """Note new incarnations and cold engines; does nothing if the floor is unchanged."""
    if router.seen_changes == floor.changes:
        return
    names = _changed_engines(router, floor)
    router.seen_changes = floor.changes
    for engine in cluster_state.serving_engines(floor, names):
        choice.note_incarnation(
            router, now_ms, engine["name"], cluster_state.incarnation(floor, engine)
        )
    if names is not None:
        return
    cold_engines.update(
        router,
        now_ms,
        floor.registry,
        registries.services(floor.registry),
        lambda engine: registry_view.usable(floor.registry, engine),
    )


def _changed_engines(router, floor):
    """The engines changed since the last update, or None if any engine may have changed."""
    news = floor.ledger_change
    if news is None or news.number != floor.changes or router.seen_changes != news.number - 1:
        return None
    return news.engines
