"""Which engines live, as the router has to know: whose life is new, and who is cold.

All of this follows from the floor alone, so engines are looked through only when
the floor has changed: whoever could serve by then is known already, and what is
forgotten of an engine that broke a leg is not what is noticed here.  After news of
ledgers alone only the engines that it is about are looked at, and nobody has become cold.
"""

from configuration import registry as registries
from placement import floor as floors
from placement import world

from routing import choice, cold_engines

__all__ = ["update"]


def update(router, now_ms, floor):
    """Keep up with the engines' lives; nothing to do while the floor is as it was."""
    if router.seen_changes == floor.changes:
        return
    names = _changed_engines(router, floor)
    router.seen_changes = floor.changes
    for engine in floors.servable(floor, names):
        choice.note_incarnation(router, now_ms, engine["name"], floors.incarnation(floor, engine))
    if names is not None:
        return
    cold_engines.update(
        router,
        now_ms,
        floor.registry,
        registries.services(floor.registry),
        lambda engine: world.usable(floor.registry, engine),
    )


def _changed_engines(router, floor):
    """The engines that have changed since the last look, or None if any may have."""
    news = floor.ledger_news
    if news is None or news.number != floor.changes or router.seen_changes != news.number - 1:
        return None
    return news.engines
