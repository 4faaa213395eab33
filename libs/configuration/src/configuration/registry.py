"""The registry, kept in shard 0: the layout, the evacuated zones and the engine list.

`decide` validates a change that an operator requests, and returns the record to log or a
failure; every follower applies logged records with `apply`.  A change may have an id; a change
with the id of an earlier one gets the same answer.  Stamps number all changes in one sequence.
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
    change_answers,
    change_validation,
    checked_document,
    document_changes,
    document_facts,
    documents,
    earlier_records,
    engine_list,
)
from configuration.change_answers import ChangeAnswers
from configuration.checked_document import CheckedDocument
from configuration.lookups import models, requires_keys, services, tenants, zone_names

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
# Taken from the settings, or derived from the other fields.
_NOT_DUMPED = ("zonesKnown", "memo", "reader", "checked")


@dataclass
class Registry:
    """The state of shard 0; a checkpoint is the JSON of its fields under their names.

    `sections` and `stamps` are by partner, `engines` by name, `changes` (the answers) by change
    id.  `zones` are the evacuated zones; `zoneStamps` the stamps of each zone's last change.
    `document` is the configuration in the platform's form, `reader` its Reader, `checked` its
    CheckedDocument; `memo` is the cache of `lookups`.
    """

    stamp: int = 0
    sections: dict = field(default_factory=dict)
    stamps: dict = field(default_factory=dict)
    zones: dict = field(default_factory=dict)
    zoneStamps: dict = field(default_factory=dict)
    engines: dict = field(default_factory=dict)
    changes: ChangeAnswers = field(default_factory=ChangeAnswers)
    document: dict = field(default_factory=lambda: documents.EMPTY)
    zonesKnown: tuple = ()
    reader: object = field(default=None, repr=False, compare=False)
    memo: dict = field(default_factory=dict, repr=False, compare=False)
    checked: CheckedDocument | None = field(default=None, repr=False, compare=False)


def replay(registry, records):
    """Apply logged records; the document's section is updated once, after the last record."""
    found = [_apply(registry, record) for record in records]
    differences = [content for content in found if content]
    if differences:
        _update_section(registry, differences)


def apply(registry, record):
    """Apply a logged record; an unreadable one, or one of an unknown kind, changes nothing."""
    replay(registry, [record])


def _apply(registry, record):
    """Apply a record; returns the difference of documents if the record is one, else None."""
    try:
        content = json.loads(record)
        kind = content["k"]
    except (ValueError, KeyError, TypeError):
        return None
    if kind not in ("layout", "zone", "engines", "same", "refused", "written"):
        return None
    registry.stamp = content["stamp"]
    if kind in ("layout", "written"):
        registry.memo.clear()
    if kind == "layout":
        registry.sections[content["partner"]] = content["section"]
        registry.stamps[content["partner"]] = content["stamp"]
    elif kind == "written":
        content = earlier_records.upgrade_difference(registry.reader, registry.document, content)
        registry.document = document_changes.apply_difference(registry.document, content)
        registry.stamps[document_facts.OWNER] = content["stamp"]
    elif kind == "zone":
        registry.zoneStamps[content["zone"]] = content["stamp"]
        if content["evacuated"]:
            registry.zones[content["zone"]] = content["stamp"]
        else:
            registry.zones.pop(content["zone"], None)
    elif kind == "engines":
        for engine in content["engines"]:
            registry.engines[engine["name"]] = engine_list.within_bounds(engine)
            if engine["state"] == "gone":
                del registry.engines[engine["name"]]
    if content.get("change"):
        registry.changes.record(content["change"], content.get("answer", content["stamp"]))
    return content if kind == "written" else None


def _update_section(registry, differences=()):
    """Update the section that corresponds to the document; only changed items are read."""
    reader, document = registry.reader, registry.document
    if reader is None or not document["edition"]:
        return
    registry.checked = checked_document.after_differences(
        reader, registry.checked, document, differences
    )
    registry.sections[document_facts.OWNER] = documents.to_section(registry.checked)


def decide(registry, verb, body):
    """Return (record to log or None, answer dict or None, Failure or None).

    If the change has an id, its answer is recorded under the id, even a refusal or the answer to
    a change without effect: a copy of the change that arrives after the registry has changed
    must get the same answer.
    """
    if not isinstance(body, dict):
        return None, None, FieldWrong("(whole)", "not an object")
    change = body.get("change", "")
    if not isinstance(change, str) or len(change) > 128:
        return None, None, FieldWrong("change", "not a short text")
    if change and change in registry.changes:
        return None, *_recorded_answer(registry.changes[change])
    content, failure = change_validation.evaluate_change(registry, verb, body)
    if body.get("may_wait") and _is_ahead(failure):
        return None, None, EditionAhead(failure.expected, failure.current)
    stamp = registry.stamp + (content is not None)
    if failure:
        answer = change_answers.truncated({"status": failure.status, "told": as_json(failure)})
        content = {"k": "refused", "answer": answer}
    elif content is None:
        answer = {"status": 200, "told": {"stamp": stamp, "same": True}}
        content = {"k": "same", "answer": answer}
    if content["k"] in ("refused", "same") and not change:
        return None, None if failure else {"stamp": stamp, "same": True}, failure
    record = _pack({**content, "stamp": stamp, "change": change})
    if failure:
        return record, None, failure
    return record, {"stamp": stamp, **({"same": True} if content["k"] == "same" else {})}, None


def _is_ahead(failure):
    return isinstance(failure, StampStale) and failure.expected > failure.current


def _recorded_answer(answer):
    """Return (answer dict or None, Failure or None) of a change that was answered before.

    The recorded answer is a dict, or only the stamp of the accepted change.
    """
    if isinstance(answer, dict) and answer["status"] == 200:
        return {**answer["told"], "again": True}, None
    if isinstance(answer, dict):
        return None, EarlierRefusal(answer["status"], answer["told"])
    return {"stamp": answer, "again": True}, None


def _pack(content):
    return json.dumps(content, separators=(",", ":")).encode()


def dump(registry):
    """The registry as a checkpoint; the section that is derived from the document is left out."""
    fields = {k: v for k, v in vars(registry).items() if k not in _NOT_DUMPED}
    if registry.document["edition"]:
        fields["sections"] = {
            k: v for k, v in registry.sections.items() if k != document_facts.OWNER
        }
    return json.dumps(fields, separators=(",", ":")).encode()


def load(body, zonesKnown=(), reader=None):
    """The registry of a checkpoint; an empty one if `body` is empty."""
    if not body:
        return Registry(zonesKnown=zonesKnown, reader=reader)
    registry = Registry(**json.loads(body), zonesKnown=zonesKnown, reader=reader)
    registry.changes = ChangeAnswers(registry.changes)
    registry.document = earlier_records.upgrade_document(reader, registry.document)
    registry.engines = {
        name: engine_list.within_bounds(engine) for name, engine in registry.engines.items()
    }
    _update_section(registry)
    return registry
