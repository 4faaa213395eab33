"""Upgrades documents and logged differences of a version that didn't read the list of tenants.

That version kept the list, unread and unchecked, in the document's "rest".  The upgrade makes
the list a part of the document.  A list that doesn't pass the present checks stays in the
"rest" until a later configuration replaces it.
"""

from configuration import checked_document, document_facts, documents

__all__ = ["upgrade_difference", "upgrade_document"]


def upgrade_document(reader, document):
    """A document from a checkpoint, with its list of tenants as a part."""
    items = None if reader is None else _tenants(reader, document["rest"])
    if items is None:
        return document
    rest = _without_tenants(reader, document["rest"])
    return {**document, "parts": {**document["parts"], reader.tenants: items}, "rest": rest}


def upgrade_difference(reader, before, difference):
    """A logged difference from the document `before`, in the form of `document_changes`.

    If the earlier version logged a "rest", it logged all of it, so tenants that are not in that
    "rest" have been removed.
    """
    if reader is None or "rest" not in difference or reader.tenants in difference["set"]:
        return difference
    tenants_before = before["parts"].get(reader.tenants)
    items = _tenants(reader, difference["rest"])
    if items is None:
        return difference if tenants_before is None else {**difference, "absent": [reader.tenants]}
    return {
        **difference,
        "set": {**difference["set"], reader.tenants: items},
        "gone": {
            **difference["gone"],
            reader.tenants: [n for n in tenants_before or () if n not in items],
        },
        "order": {**difference["order"], reader.tenants: list(items)},
        "rest": _without_tenants(reader, difference["rest"]),
    }


def _without_tenants(reader, rest):
    return {key: value for key, value in rest.items() if key != reader.tenants}


def _tenants(reader, rest):
    """The tenants in a "rest" as {name: item}, or None if it has no list or an invalid one."""
    if reader.tenants not in rest:
        return None
    try:
        items = documents.items_by_name(reader.tenants, rest[reader.tenants])
        facts = checked_document.read_items(reader.tenants, items, reader.tenant)
    except (documents.Unreadable, checked_document.Unreadable):
        return None
    return None if document_facts.check({}, {}, facts) else items
