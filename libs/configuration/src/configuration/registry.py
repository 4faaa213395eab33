"""Shard 0: the layout, the zones evacuated and the platform's engine list.

`decide` checks an operator's wish against the present registry and answers
with the record to log, or a failure; `apply` is what every follower does with
a logged record.  Each change has an id: asked again, it gets the answer it
got.  Stamps are one numbered line for all changes.
"""

import json
from dataclasses import dataclass, field

from transport.failures import (
    EditionAhead,
    FieldWrong,
    LayoutWrong,
    NotFound,
    RefusedBefore,
    StampStale,
    WrongPartner,
    as_json,
)

from configuration import answers, checked_document, documents, engine_list, merging, passages
from configuration.answers import Answers
from configuration.checked_document import CheckedDocument

__all__ = [
    "Registry",
    "apply",
    "decide",
    "dump",
    "load",
    "replay",
    "services",
    "models",
    "tenants",
    "zone_names",
    "VERBS",
]

VERBS = ("layout", "zone", "engine", "engines", "written")
# Given by the settings, or made of the rest.
_NOT_DUMPED = ("zonesKnown", "memo", "reader", "checked")


@dataclass
class Registry:
    stamp: int = 0
    sections: dict = field(default_factory=dict)
    stamps: dict = field(default_factory=dict)
    zones: dict = field(default_factory=dict)
    zoneStamps: dict = field(default_factory=dict)
    engines: dict = field(default_factory=dict)
    changes: Answers = field(default_factory=Answers)
    document: dict = field(default_factory=lambda: documents.EMPTY)
    zonesKnown: tuple = ()
    reader: object = field(default=None, repr=False, compare=False)
    memo: dict = field(default_factory=dict, repr=False, compare=False)
    checked: CheckedDocument | None = field(default=None, repr=False, compare=False)


def services(registry):
    """Every service by name, with its owner filled in."""
    return _owned(registry, "services")


def models(registry):
    return _owned(registry, "models")


def tenants(registry):
    """Every tenant by name, made once for each configuration."""
    if "tenants" not in registry.memo:
        registry.memo["tenants"] = {
            name: facts
            for _, section in sorted(registry.sections.items())
            for name, facts in section.get("tenants", {}).items()
        }
    return registry.memo["tenants"]


def _owned(registry, part):
    """Made once for each layout, since every task and every plan asks for it."""
    if part not in registry.memo:
        registry.memo[part] = {
            name: {**facts, "partner": partner}
            for partner, section in sorted(registry.sections.items())
            for name, facts in section[part].items()
        }
    return registry.memo[part]


def zone_names(registry):
    return set(registry.zonesKnown) | {e["zone"] for e in registry.engines.values()}


def replay(registry, records):
    """Apply many records; a written layout is read once, as it is after the last."""
    found = [_apply(registry, record) for record in records]
    differences = [told for told in found if told]
    if differences:
        _reread(registry, differences)


def apply(registry, record):
    """What can't be read, or is of a later version's kind, changes nothing."""
    replay(registry, [record])


def _apply(registry, record):
    """Apply a record; what it says of the written layout, if anything."""
    try:
        told = json.loads(record)
        kind = told["k"]
    except (ValueError, KeyError, TypeError):
        return None
    if kind not in ("layout", "zone", "engines", "same", "refused", "written"):
        return None
    registry.stamp = told["stamp"]
    if kind in ("layout", "written"):
        registry.memo.clear()
    if kind == "layout":
        registry.sections[told["partner"]] = told["section"]
        registry.stamps[told["partner"]] = told["stamp"]
    elif kind == "written":
        registry.document = documents.merged(registry.document, told)
        registry.stamps[passages.OWNER] = told["stamp"]
    elif kind == "zone":
        registry.zoneStamps[told["zone"]] = told["stamp"]
        if told["evacuated"]:
            registry.zones[told["zone"]] = told["stamp"]
        else:
            registry.zones.pop(told["zone"], None)
    elif kind == "engines":
        for engine in told["engines"]:
            registry.engines[engine["name"]] = engine
            if engine["state"] == "gone":
                del registry.engines[engine["name"]]
    if told.get("change"):
        registry.changes.remember(told["change"], told.get("answer", told["stamp"]))
    return told if kind == "written" else None


def _reread(registry, differences=()):
    """The written layout as a section beside the partners' own, read anew where it
    differs from what was read before."""
    reader, document = registry.reader, registry.document
    if reader is None or not document["edition"]:
        return
    registry.checked = checked_document.advanced(reader, registry.checked, document, differences)
    registry.sections[passages.OWNER] = documents.read(registry.checked)


def decide(registry, verb, body):
    """Return (record or None, answer dict or None, Failure or None).

    Whatever the answer, it is recorded under the change's id, refusals and
    changes of nothing too: a copy of the same change that arrives later, when
    things have changed, must not come to another answer.
    """
    if not isinstance(body, dict):
        return None, None, FieldWrong("(whole)", "not an object")
    change = body.get("change", "")
    if not isinstance(change, str) or len(change) > 128:
        return None, None, FieldWrong("change", "not a short text")
    if change and change in registry.changes:
        return None, *_told_before(registry.changes[change])
    told, failure = _judged(registry, verb, body)
    if body.get("may_wait") and _is_ahead(failure):
        return None, None, EditionAhead(failure.expected, failure.current)
    stamp = registry.stamp + (told is not None)
    if failure:
        answer = answers.shortened({"status": failure.status, "told": as_json(failure)})
        told = {"k": "refused", "answer": answer}
    elif told is None:
        answer = {"status": 200, "told": {"stamp": stamp, "same": True}}
        told = {"k": "same", "answer": answer}
    if told["k"] in ("refused", "same") and not change:
        return None, None if failure else {"stamp": stamp, "same": True}, failure
    record = _pack({**told, "stamp": stamp, "change": change})
    if failure:
        return record, None, failure
    return record, {"stamp": stamp, **({"same": True} if told["k"] == "same" else {})}, None


def _is_ahead(failure):
    return isinstance(failure, StampStale) and failure.expected > failure.current


def _told_before(kept):
    if isinstance(kept, dict) and kept["status"] == 200:
        return {**kept["told"], "again": True}, None
    if isinstance(kept, dict):
        return None, RefusedBefore(kept["status"], kept["told"])
    return {"stamp": kept, "again": True}, None


def _pack(told):
    return json.dumps(told, separators=(",", ":")).encode()


def _judged(registry, verb, body):
    expected = body.get("expect")
    if expected is not None and (not isinstance(expected, int) or isinstance(expected, bool)):
        return None, FieldWrong("expect", "not a whole number")
    rule = {
        "layout": _layout,
        "zone": _zone,
        "engines": engine_list.judged,
        "written": _written,
    }.get(verb)
    if rule is None or (verb == "written" and registry.reader is None):
        return None, NotFound(verb)
    return rule(registry, body, expected)


def _written(registry, body, expected):
    told, failure = documents.judged(registry.reader, registry.document, body, registry.checked)
    return (None, failure) if failure else ({"k": "written", **told}, None)


def _layout(registry, body, expected):
    partner, section = body.get("partner"), body.get("section")
    if not isinstance(partner, str) or not partner:
        return None, FieldWrong("partner", "missing")
    if registry.reader is not None and partner == passages.OWNER:
        return None, FieldWrong("partner", "kept for the written configuration")
    actor = body.get("actor")
    if actor != partner:
        return None, WrongPartner(str(actor), partner)
    current = registry.stamps.get(partner, 0)
    if expected is not None and expected != current:
        return None, StampStale(expected, current)
    if body.get("partial"):
        section = merging.patched(registry.sections.get(partner, {}), section)
    checked, wrong = merging.whole(registry.sections, partner, section, zone_names(registry))
    if wrong:
        return None, LayoutWrong(tuple(wrong[:100]))
    return {"k": "layout", "partner": partner, "section": checked}, None


def _zone(registry, body, expected):
    zone, evacuated = body.get("zone"), body.get("evacuated")
    if not isinstance(evacuated, bool):
        return None, FieldWrong("evacuated", "not true or false")
    if not isinstance(zone, str) or zone not in zone_names(registry):
        return None, FieldWrong("zone", f"unknown zone {zone}")
    if (zone in registry.zones) == evacuated:
        return None, None
    if expected is not None and expected != registry.stamp:
        return None, StampStale(expected, registry.stamp)
    if body.get("since", registry.zoneStamps.get(zone, 0)) != registry.zoneStamps.get(zone, 0):
        return None, StampStale(body["since"], registry.zoneStamps.get(zone, 0))
    return {"k": "zone", "zone": zone, "evacuated": evacuated}, None


def dump(registry):
    """The registry as a checkpoint; a written layout is kept as its document only."""
    fields = {k: v for k, v in vars(registry).items() if k not in _NOT_DUMPED}
    if registry.document["edition"]:
        fields["sections"] = {k: v for k, v in registry.sections.items() if k != passages.OWNER}
    return json.dumps(fields, separators=(",", ":")).encode()


def load(body, zonesKnown=(), reader=None):
    if not body:
        return Registry(zonesKnown=zonesKnown, reader=reader)
    registry = Registry(**json.loads(body), zonesKnown=zonesKnown, reader=reader)
    registry.changes = Answers(registry.changes)
    _reread(registry)
    return registry
