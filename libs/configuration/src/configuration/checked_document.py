"""What is known of a document in force, so that a change costs what it changes.

Facts are read and checked once for each item.  `accepts` says yes only where the check
of the whole document would find nothing wrong; on any doubt it says no, and the whole
check is made, whose findings are what operators are told.
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
    """An item that the adapter's reader can't read."""

    def __init__(self, part, name, cause):
        super().__init__(name)
        self.part, self.name, self.cause = part, name, cause


@dataclass
class CheckedDocument:
    """A document with its items' facts.

    `sound`: whether the check of the whole is known to find nothing, None if it was
    not made yet.  Only of a sound one are `places` (of its routes), `uses` (of its
    services) and `holders` (of the tenants' keys) known."""

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
    """The facts of a part's items."""
    return {name: _read(part, name, item, read_item) for name, item in items.items()}


def read_whole(reader, document):
    """The CheckedDocument of a document of which nothing is known."""
    found = [
        read_items(part, document["parts"].get(part, {}), read_item)
        for part, read_item in reader.parts()
    ]
    return CheckedDocument(document, *found)


def after_differences(reader, checked, document, differences):
    """The CheckedDocument of what `differences`, one after the other, made of the one
    that `checked` is of; or, if that is None, read anew."""
    if checked is None:
        return read_whole(reader, document)
    found, touched = [], {}
    known = (checked.routes, checked.services, checked.tenants)
    for (part, read_item), facts in zip(reader.parts(), known):
        facts, touched[part] = dict(facts), set()
        for told in differences:
            facts = _with_difference(part, read_item, facts, told, touched[part])
        found.append(facts)
    made = CheckedDocument(document, *found)
    if checked.valid and is_surely_valid(reader, checked, document, touched):
        _carry_on(made, checked, touched[reader.routes], touched[reader.tenants])
    return made


def _with_difference(part, read_item, facts, told, touched):
    """A part's facts with one difference laid over them; its names go to `touched`."""
    if part in told.get("absent", ()):
        touched.update(facts)
        facts = {}
    items, gone = told["set"].get(part, {}), told["gone"].get(part, ())
    touched.update(items, gone)
    for name in gone:
        facts.pop(name, None)
    facts.update(read_items(part, items, read_item))
    if part in told["order"]:
        facts = {name: facts[name] for name in told["order"][part]}
    return facts


def _carry_on(made, checked, routes, tenants):
    """What is known of the earlier document, with the routes and tenants of these names
    changed."""
    made.valid = True
    made.route_names, made.service_uses = dict(checked.route_names), Counter(checked.service_uses)
    made.key_owners = dict(checked.key_owners)
    for name in routes & checked.routes.keys():
        _forget_route(made, name, checked.routes[name])
    for name in routes & made.routes.keys():
        _note_route(made, name, made.routes[name])
    for name in tenants & checked.tenants.keys():
        _forget_tenant(made, checked.tenants[name])
    for name in tenants & made.tenants.keys():
        _note_tenant(made, name, made.tenants[name])


def _place(route):
    return (route["host"].lower(), route["prefix"])


def _forget_route(checked, name, route):
    if checked.route_names.get(_place(route)) == name:
        del checked.route_names[_place(route)]
    checked.service_uses.subtract(share["service"] for share in route["split"])


def _note_route(checked, name, route):
    checked.route_names[_place(route)] = name
    checked.service_uses.update(share["service"] for share in route["split"])


def _forget_tenant(checked, tenant):
    for key in tenant["keys"]:
        checked.key_owners.pop(key, None)


def _note_tenant(checked, name, tenant):
    for key in tenant["keys"]:
        checked.key_owners[key] = name


def _whole_is_valid(checked):
    if checked.valid is None:
        checked.valid = not document_facts.check(checked.routes, checked.services, checked.tenants)
        for name, route in checked.routes.items() if checked.valid else ():
            _note_route(checked, name, route)
        for name, tenant in checked.tenants.items() if checked.valid else ():
            _note_tenant(checked, name, tenant)
    return checked.valid


def is_surely_valid(reader, checked, document, touched):
    """Whether `document`, which differs from the one of `checked` in items of the names
    `touched` of each part at most, is certain to pass the check of the whole."""
    if not _whole_is_valid(checked):
        return False
    try:
        routes, services, tenants = [
            _changed(part, read_item, checked, document, touched[part])
            for part, read_item in reader.parts()
        ]
    except Unreadable:
        return False
    return (
        all(_well_formed(document_facts.SERVICE, facts) for facts in services.values())
        and all(_well_formed(document_facts.ROUTE, facts) for facts in routes.values())
        and all(_well_formed(document_facts.TENANT, facts) for facts in tenants.values())
        and _fit(reader, checked, document, routes, touched)
        and _keys_fit(checked, document["parts"].get(reader.tenants, {}), tenants)
    )


def _changed(part, read_item, checked, document, touched):
    """{name: facts} of the items among `touched` that `checked` hasn't."""
    before, items = checked.document["parts"].get(part, {}), document["parts"].get(part, {})
    changed = {n: items[n] for n in touched if n in items and items[n] is not before.get(n)}
    return read_items(part, changed, read_item)


def _well_formed(schema, facts):
    try:
        schema.load(facts)
    except (ValidationError, TypeError):
        return False
    return True


def _fit(reader, checked, document, changed, touched):
    """Whether changed routes clash with none, and every service that is used is there."""
    names = document["parts"].get(reader.routes, {})
    services = document["parts"].get(reader.services, {})
    uses, taken = Counter(), set()
    for name in touched[reader.routes] & checked.routes.keys():
        if name in names and name not in changed:
            continue
        uses.subtract(share["service"] for share in checked.routes[name]["split"])
    for name, route in changed.items():
        place = _place(route)
        holder = checked.route_names.get(place, name)
        held = holder != name and holder in names and holder not in changed
        if held or place in taken or sum(s["weight"] for s in route["split"]) <= 0:
            return False
        taken.add(place)
        uses.update(share["service"] for share in route["split"])
    gone = touched[reader.services] & checked.services.keys() - services.keys()
    unused = all(checked.service_uses[n] + uses[n] <= 0 for n in gone)
    return unused and all(n in services for n, count in uses.items() if count > 0)


def _keys_fit(checked, names, changed):
    """Whether no key of a changed tenant is another's; `names`: all tenants there are."""
    holders = {}
    for name, tenant in changed.items():
        for key in tenant["keys"]:
            before = checked.key_owners.get(key, name)
            held = before != name and before in names and before not in changed
            if held or holders.setdefault(key, name) != name:
                return False
    return True
