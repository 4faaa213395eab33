"""Shard 0: the layout, the zones evacuated and the platform's engine list.

`decide` checks an operator's wish against the present registry and answers
with the record to log, or a failure; `apply` is what every follower does with
a logged record.  Each change has an id: asked again, it gets the answer it
got.  Stamps are one numbered line for all changes.
"""

import json
from dataclasses import dataclass, field

from transport.failures import (
    EarlierRefusal,
    EditionAhead,
    FieldWrong,
    StampStale,
    as_json,
)

from configuration import (
    change_validation,
    checked_document,
    document_changes,
    document_facts,
    documents,
    earlier_records,
    recorded_responses,
)
from configuration.checked_document import CheckedDocument
from configuration.lookups import models, requires_keys, services, tenants, zone_names
from configuration.recorded_responses import RecordedResponses

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
    "requires_keys",
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
    changes: RecordedResponses = field(default_factory=RecordedResponses)
    document: dict = field(default_factory=lambda: documents.EMPTY)
    zonesKnown: tuple = ()
    reader: object = field(default=None, repr=False, compare=False)
    memo: dict = field(default_factory=dict, repr=False, compare=False)
    checked: CheckedDocument | None = field(default=None, repr=False, compare=False)


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
        told = earlier_records.upgrade_difference(registry.reader, registry.document, told)
        registry.document = document_changes.apply_difference(registry.document, told)
        registry.stamps[document_facts.OWNER] = told["stamp"]
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
        registry.changes.record(told["change"], told.get("answer", told["stamp"]))
    return told if kind == "written" else None


def _reread(registry, differences=()):
    """The written layout as a section beside the partners' own, read anew where it
    differs from what was read before."""
    reader, document = registry.reader, registry.document
    if reader is None or not document["edition"]:
        return
    registry.checked = checked_document.after_differences(
        reader, registry.checked, document, differences
    )
    registry.sections[document_facts.OWNER] = documents.to_section(registry.checked)


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
    told, failure = change_validation.evaluate_change(registry, verb, body)
    if body.get("may_wait") and _is_ahead(failure):
        return None, None, EditionAhead(failure.expected, failure.current)
    stamp = registry.stamp + (told is not None)
    if failure:
        answer = recorded_responses.truncated({"status": failure.status, "told": as_json(failure)})
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
        return None, EarlierRefusal(kept["status"], kept["told"])
    return {"stamp": kept, "again": True}, None


def _pack(told):
    return json.dumps(told, separators=(",", ":")).encode()


def dump(registry):
    """The registry as a checkpoint; a written layout is kept as its document only."""
    fields = {k: v for k, v in vars(registry).items() if k not in _NOT_DUMPED}
    if registry.document["edition"]:
        fields["sections"] = {
            k: v for k, v in registry.sections.items() if k != document_facts.OWNER
        }
    return json.dumps(fields, separators=(",", ":")).encode()


def load(body, zonesKnown=(), reader=None):
    if not body:
        return Registry(zonesKnown=zonesKnown, reader=reader)
    registry = Registry(**json.loads(body), zonesKnown=zonesKnown, reader=reader)
    registry.changes = RecordedResponses(registry.changes)
    registry.document = earlier_records.upgrade_document(reader, registry.document)
    _reread(registry)
    return registry
