"""The checked state of the current document, so that a change is checked by its own items.

The facts of each item are read and checked once.  `is_surely_valid` is true only if the check
of the whole document would find no fault; otherwise the whole document is checked, and the
faults that this check finds are reported to the operator.
"""

from collections import Counter
from dataclasses import dataclass, field

from marshmallow import ValidationError

from configuration import document_facts

__all__ = [
    "CheckedDocument",
    "Unreadable",
    "after_differences",
    "is_surely_valid",
    "read_items",
    "read_whole",
]

_UNREADABLE = (KeyError, TypeError, ValueError, AttributeError, ArithmeticError)


class Unreadable(Exception):
    """An item is invalid: the adapter's Reader raised an exception."""

    def __init__(self, part, name, cause):
        super().__init__(name)
        self.part, self.name, self.cause = part, name, cause


@dataclass
class CheckedDocument:
    """A document with the facts of its items.

    `valid`: the result of the check of the whole document, None before that check.  The other
    fields are set only for a valid document: `route_names` by (host, prefix), `service_uses`
    (how many routes' shares name each service), `key_owners` (the name of each API key's tenant).
    """

    document: dict
    routes: dict = field(default_factory=dict)
    services: dict = field(default_factory=dict)
    tenants: dict = field(default_factory=dict)
    route_names: dict = field(default_factory=dict)
    service_uses: Counter = field(default_factory=Counter)
    key_owners: dict = field(default_factory=dict)
    valid: bool | None = None


def _read(part, name, item, read_item):
    try:
        return read_item(item)
    except _UNREADABLE as failed:
        raise Unreadable(part, name, repr(failed)) from failed


def read_items(part, items, read_item):
    """The facts of the items of a part, by name; raises Unreadable."""
    return {name: _read(part, name, item, read_item) for name, item in items.items()}


def read_whole(reader, document):
    """The CheckedDocument of a document, all items of which are read."""
    found = [
        read_items(part, document["parts"].get(part, {}), read_item)
        for part, read_item in reader.parts()
    ]
    return CheckedDocument(document, *found)


def after_differences(reader, checked, document, differences):
    """The CheckedDocument of `document`.

    `checked` is the CheckedDocument of an earlier document, which `differences`, applied in
    order, turn into `document`.  If it is None, all items of `document` are read.
    """
    if checked is None:
        return read_whole(reader, document)
    found, touched = [], {}
    known = (checked.routes, checked.services, checked.tenants)
    for (part, read_item), facts in zip(reader.parts(), known):
        facts, touched[part] = dict(facts), set()
        for difference in differences:
            facts = _with_difference(part, read_item, facts, difference, touched[part])
        found.append(facts)
    result = CheckedDocument(document, *found)
    if checked.valid and is_surely_valid(reader, checked, document, touched):
        _derive_valid_fields(result, checked, touched[reader.routes], touched[reader.tenants])
    return result


def _with_difference(part, read_item, facts, difference, touched):
    """The facts of a part after a difference; adds the names that it changes to `touched`."""
    if part in difference.get("absent", ()):
        touched.update(facts)
        facts = {}
    items, gone = difference["set"].get(part, {}), difference["gone"].get(part, ())
    touched.update(items, gone)
    for name in gone:
        facts.pop(name, None)
    facts.update(read_items(part, items, read_item))
    if part in difference["order"]:
        facts = {name: facts[name] for name in difference["order"][part]}
    return facts


def _derive_valid_fields(result, checked, routes, tenants):
    """Derive the fields of `result`, for a valid document, from those of the earlier `checked`.

    `routes` and `tenants` are the names of the routes and tenants that may differ.
    """
    result.valid = True
    result.route_names, result.service_uses = (
        dict(checked.route_names),
        Counter(checked.service_uses),
    )
    result.key_owners = dict(checked.key_owners)
    for name in routes & checked.routes.keys():
        _remove_route(result, name, checked.routes[name])
    for name in routes & result.routes.keys():
        _add_route(result, name, result.routes[name])
    for name in tenants & checked.tenants.keys():
        _remove_tenant(result, checked.tenants[name])
    for name in tenants & result.tenants.keys():
        _add_tenant(result, name, result.tenants[name])


def _host_and_prefix(route):
    return (route["host"].lower(), route["prefix"])


def _remove_route(checked, name, route):
    if checked.route_names.get(_host_and_prefix(route)) == name:
        del checked.route_names[_host_and_prefix(route)]
    checked.service_uses.subtract(share["service"] for share in route["split"])


def _add_route(checked, name, route):
    checked.route_names[_host_and_prefix(route)] = name
    checked.service_uses.update(share["service"] for share in route["split"])


def _remove_tenant(checked, tenant):
    for key in tenant["keys"]:
        checked.key_owners.pop(key, None)


def _add_tenant(checked, name, tenant):
    for key in tenant["keys"]:
        checked.key_owners[key] = name


def _whole_is_valid(checked):
    """Whether the whole document is valid.

    The first call checks the document and, if it is valid, derives the fields of a valid document.
    """
    if checked.valid is None:
        checked.valid = not document_facts.check(checked.routes, checked.services, checked.tenants)
        for name, route in checked.routes.items() if checked.valid else ():
            _add_route(checked, name, route)
        for name, tenant in checked.tenants.items() if checked.valid else ():
            _add_tenant(checked, name, tenant)
    return checked.valid


def is_surely_valid(reader, checked, document, touched):
    """Whether `document` is certain to pass the check of the whole document.

    `document` may differ from that of `checked` only in the items named in `touched`, by part.
    """
    if not _whole_is_valid(checked):
        return False
    try:
        routes, services, tenants = [
            _changed(part, read_item, checked, document, touched[part])
            for part, read_item in reader.parts()
        ]
    except Unreadable:
        return False
    if _size_fault(reader, checked, document, services) is not None:
        return False
    return (
        all(_well_formed(document_facts.SERVICE, facts) for facts in services.values())
        and all(_well_formed(document_facts.ROUTE, facts) for facts in routes.values())
        and all(_well_formed(document_facts.TENANT, facts) for facts in tenants.values())
        and _routes_fit(reader, checked, document, routes, touched)
        and _keys_fit(checked, document["parts"].get(reader.tenants, {}), tenants)
    )


def _changed(part, read_item, checked, document, touched):
    """{name: facts} of the items among `touched` that differ from those of `checked`."""
    before, items = checked.document["parts"].get(part, {}), document["parts"].get(part, {})
    changed = {n: items[n] for n in touched if n in items and items[n] is not before.get(n)}
    return read_items(part, changed, read_item)


def _size_fault(reader, checked, document, changed_services):
    """The fault of a document with too many items; `changed_services` are facts by name."""
    parts = document["parts"]
    services = {
        name: changed_services.get(name, checked.services.get(name, {}))
        for name in parts.get(reader.services, ())
    }
    return document_facts.size_fault(
        parts.get(reader.routes, ()), services, parts.get(reader.tenants, ())
    )


def _well_formed(schema, facts):
    try:
        schema.load(facts)
    except (ValidationError, TypeError):
        return False
    return True


def _routes_fit(reader, checked, document, changed, touched):
    """Whether changed routes conflict with no other route and all services in use exist."""
    all_routes = document["parts"].get(reader.routes, {})
    services = document["parts"].get(reader.services, {})
    uses, route_keys = Counter(), set()
    for name in touched[reader.routes] & checked.routes.keys():
        if name in all_routes and name not in changed:
            continue
        uses.subtract(share["service"] for share in checked.routes[name]["split"])
    for name, route in changed.items():
        route_key = _host_and_prefix(route)
        other = checked.route_names.get(route_key, name)
        conflicts = other != name and other in all_routes and other not in changed
        if conflicts or route_key in route_keys or sum(s["weight"] for s in route["split"]) <= 0:
            return False
        route_keys.add(route_key)
        uses.update(share["service"] for share in route["split"])
    gone = touched[reader.services] & checked.services.keys() - services.keys()
    unused = all(checked.service_uses[n] + uses[n] <= 0 for n in gone)
    return unused and all(n in services for n, count in uses.items() if count > 0)


def _keys_fit(checked, all_tenants, changed):
    """Whether no key of a changed tenant is also a key of another tenant.

    `all_tenants` are the tenants of the new document by name, `changed` the facts of those that
    differ.
    """
    owners = {}
    for name, tenant in changed.items():
        for key in tenant["keys"]:
            owner = checked.key_owners.get(key, name)
            conflicts = owner != name and owner in all_tenants and owner not in changed
            if conflicts or owners.setdefault(key, name) != name:
                return False
    return True
