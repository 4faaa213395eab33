"""Documents and logged changes of the version that did not read the list of tenants.

That version kept the list in the document's rest, unread and unchecked.  Here it becomes
the part that it is now.  A list that today's checks would refuse stays in the rest, as
that version treated it, until a later configuration replaces it.
"""

from configuration import checked_document, document_facts, documents

__all__ = ["upgrade_difference", "upgrade_document"]


def upgrade_document(reader, found):
    """A document out of a checkpoint, with its tenants among the parts."""
    items = None if reader is None else _tenants(reader, found["rest"])
    if items is None:
        return found
    rest = _without_tenants(reader, found["rest"])
    return {**found, "parts": {**found["parts"], reader.tenants: items}, "rest": rest}


def upgrade_difference(reader, before, told):
    """A logged change to the document `before`, as `document_changes` has it.

    Where that version logged a rest, it was the whole of it: tenants that it doesn't
    name are gone."""
    if reader is None or "rest" not in told or reader.tenants in told["set"]:
        return told
    had = before["parts"].get(reader.tenants)
    items = _tenants(reader, told["rest"])
    if items is None:
        return told if had is None else {**told, "absent": [reader.tenants]}
    return {
        **told,
        "set": {**told["set"], reader.tenants: items},
        "gone": {**told["gone"], reader.tenants: [n for n in had or () if n not in items]},
        "order": {**told["order"], reader.tenants: list(items)},
        "rest": _without_tenants(reader, told["rest"]),
    }


def _without_tenants(reader, rest):
    return {key: value for key, value in rest.items() if key != reader.tenants}


def _tenants(reader, rest):
    """The tenants in a rest as {name: item}, or None if there are none or they are wrong."""
    if reader.tenants not in rest:
        return None
    try:
        items = documents.items_by_name(reader.tenants, rest[reader.tenants])
        facts = checked_document.read_items(reader.tenants, items, reader.tenant)
    except (documents.Unreadable, checked_document.Unreadable):
        return None
    return None if document_facts.check({}, {}, facts) else items
