"""Follows the platform's list of engines; one node reads it for all.

The lease holder of shard 0 requests the list page by page and logs only the changes.  An engine
is removed only if a complete list lacks it; a list that can't be read completely changes nothing.
An entry that isn't valid changes nothing either, and keeps no other one from being followed.
The remaining warm-up time of an engine is logged when the list first shows it, and again only if
the list shows that the warm-up will end later than expected.
"""

from dataclasses import dataclass, field

from configuration import engine_list
from transport import failures
from transport.effects import EngineCall, LogLine

__all__ = ["EngineListPoll", "tick", "on_called"]

_MAX_PAGES = 200
# By how much later a warm-up must end than expected to be logged again.
_WARMUP_SLACK_MS = 700


@dataclass
class EngineListPoll:
    """State of reading the list: when the first page was requested, the number of the reading
    (`round`), the `token` of the next page, whether a response is pending (`open`), the engines
    `found` so far, and when each will be warm."""

    requested_ms: float = -1e12
    round: int = 0
    token: str = ""
    open: bool = False
    found: dict = field(default_factory=dict)
    warm_until_ms: dict = field(default_factory=dict)


def tick(poll, now_ms, settings, address, id_):
    """Request the first page when it is due; `id_` is the prefix of the call's id."""
    if (
        not address
        or now_ms - poll.requested_ms < settings.list_interval_ms
        or (poll.open and now_ms - poll.requested_ms < 2 * settings.call_timeout_ms)
    ):
        return []
    poll.requested_ms, poll.round, poll.open = now_ms, poll.round + 1, True
    poll.found, poll.token = {}, ""
    return [_page_call(poll, settings, address, id_)]


def _page_call(poll, settings, address, id_):
    return EngineCall(
        f"{id_}|list:{poll.round}",
        "",
        address,
        "list",
        {"token": poll.token},
        settings.call_timeout_ms,
    )


def on_called(poll, now_ms, id_, called, registry, settings, address, prefix):
    """(effects, changed engines): request the next page, or compare a complete list with the
    registry."""
    if id_ != f"list:{poll.round}" or not poll.open:
        return [], []
    if called.code != 200 or not isinstance(called.body.get("engines"), list):
        poll.open = False
        return [], []
    effects = _add_entries(poll, called.body["engines"], registry)
    token = called.body.get("next")
    if token and len(poll.found) < _MAX_PAGES * 50:
        poll.token = token
        return [*effects, _page_call(poll, settings, address, prefix)], []
    poll.open = False
    return effects, _changed_engines(poll, now_ms, registry)


def _add_entries(poll, entries, registry):
    """Add the valid entries of a page, and for any other one the engine as it is known, if it is;
    returns a log line for each of the others."""
    effects = []
    for number, entry in enumerate(entries):
        fault = engine_list.entry_fault(f"engines.{number}", entry)
        if fault is None:
            poll.found[entry["name"]] = entry
            continue
        effects.append(LogLine("engine-entry-invalid", failures.as_json(fault)))
        name = entry.get("name") if isinstance(entry, dict) else None
        known = registry.engines.get(name) if isinstance(name, str) else None
        if known is not None:
            poll.found[name] = {key: known[key] for key in known if key != "warmMs"}
    return effects


def _changed_engines(poll, now_ms, registry):
    """The engines of a complete list that are new or changed, and those that were removed."""
    changed = []
    for name, engine in poll.found.items():
        old = registry.engines.get(name)
        without_warmup = {k: v for k, v in engine.items() if k != "warmMs"}
        warm_ms = int(engine.get("warmMs", 0))
        warmup_extended = (
            warm_ms > 0
            and now_ms + warm_ms > poll.warm_until_ms.get(name, -1e12) + _WARMUP_SLACK_MS
        )
        if (
            old is None
            or warmup_extended
            or any(old.get(k) != v for k, v in without_warmup.items())
        ):
            if warmup_extended:
                poll.warm_until_ms[name] = now_ms + warm_ms
            left_ms = max(0, int(poll.warm_until_ms.get(name, now_ms) - now_ms))
            changed.append({**without_warmup, **({"warmMs": left_ms} if left_ms else {})})
    for name, old in registry.engines.items():
        if name not in poll.found:
            poll.warm_until_ms.pop(name, None)
            changed.append(
                {**{k: old[k] for k in ("name", "service", "zone", "url")}, "state": "gone"}
            )
    return changed
