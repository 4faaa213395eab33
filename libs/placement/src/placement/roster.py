"""Following the platform's list of engines: one node reads it for all.

The holder of shard 0 asks for the list, page by page, and logs only what has
changed.  An engine is gone only if a list that came whole doesn't name it; one
that failed to come says nothing.  How long an engine is still slow is logged
when it starts, and again only if the list says more than was expected.
"""

from dataclasses import dataclass, field

from transport.effects import EngineCall

__all__ = ["Roster", "tick", "on_called"]

_PAGES = 200
_SLACK_MS = 700


@dataclass
class Roster:
    asked_ms: float = -1e12
    round: int = 0
    token: str = ""
    open: bool = False
    found: dict = field(default_factory=dict)
    warm_until_ms: dict = field(default_factory=dict)


def tick(r, now_ms, terms, address, id_):
    """Ask for the first page when it is time; `id_` makes a call's id."""
    if (
        not address
        or now_ms - r.asked_ms < terms.list_ms
        or (r.open and now_ms - r.asked_ms < 2 * terms.call_ms)
    ):
        return []
    r.asked_ms, r.round, r.open = now_ms, r.round + 1, True
    r.found, r.token = {}, ""
    return [_ask(r, terms, address, id_)]


def _ask(r, terms, address, id_):
    return EngineCall(
        f"{id_}|list:{r.round}", "", address, "list", {"token": r.token}, terms.call_ms
    )


def on_called(r, now_ms, id_, called, registry, terms, address, prefix):
    """(effects, changed engines): the next page is asked for, or the list is whole."""
    if id_ != f"list:{r.round}" or not r.open:
        return [], []
    if called.code != 200 or not isinstance(called.body.get("engines"), list):
        r.open = False
        return [], []
    for engine in called.body["engines"]:
        r.found[engine["name"]] = engine
    token = called.body.get("next")
    if token and len(r.found) < _PAGES * 50:
        r.token = token
        return [_ask(r, terms, address, prefix)], []
    r.open = False
    return [], _changes(r, now_ms, registry)


def _changes(r, now_ms, registry):
    changed = []
    for name, engine in r.found.items():
        old = registry.engines.get(name)
        plain = {k: v for k, v in engine.items() if k != "warmMs"}
        warmMs = int(engine.get("warmMs", 0))
        colder = warmMs > 0 and now_ms + warmMs > r.warm_until_ms.get(name, -1e12) + _SLACK_MS
        if old is None or colder or any(old.get(k) != v for k, v in plain.items()):
            if colder:
                r.warm_until_ms[name] = now_ms + warmMs
            left_ms = max(0, int(r.warm_until_ms.get(name, now_ms) - now_ms))
            changed.append({**plain, **({"warmMs": left_ms} if left_ms else {})})
    for name, old in registry.engines.items():
        if name not in r.found:
            r.warm_until_ms.pop(name, None)
            changed.append(
                {**{k: old[k] for k in ("name", "service", "zone", "url")}, "state": "gone"}
            )
    return changed
