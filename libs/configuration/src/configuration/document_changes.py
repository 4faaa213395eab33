"""The difference between two documents, which is logged instead of the new document.

A difference is {"edition", "set": {part: {name: item}}, "gone": {part: [name]}, "order":
{part: [name]}, "absent": [part], "rest"}.  "order" has only the parts whose items changed
their order; "absent" is there only if whole parts were removed, "rest" only if it changed.
"""

import json

__all__ = ["apply_difference", "difference", "reuse_unchanged"]


def _same(old, new):
    """Whether both have the same JSON form, unlike 1, 1.0 and True, which are equal in Python."""
    return old is new or (old == new and json.dumps(old) == json.dumps(new))


def reuse_unchanged(old, new, touched):
    """Replace each item of `new` that equals that of `old` by the object in `old`.

    Only the items named in `touched`, by part, are compared.
    """
    for part, items in new["parts"].items():
        before = old["parts"].get(part, {})
        for name in touched[part] & items.keys() & before.keys():
            if _same(before[name], items[name]):
                items[name] = before[name]


def difference(old, new):
    """The difference that turns `old` into `new`."""
    found = {"edition": new["edition"], "set": {}, "gone": {}, "order": {}}
    for part, items in new["parts"].items():
        before = old["parts"].get(part, {})
        found["set"][part] = {n: i for n, i in items.items() if before.get(n) is not i}
        found["gone"][part] = [n for n in before if n not in items]
        default_order = [n for n in before if n in items] + [n for n in items if n not in before]
        if default_order != list(items):
            found["order"][part] = list(items)
    absent = [part for part in old["parts"] if part not in new["parts"]]
    if absent:
        found["absent"] = absent
    if not _same(new["rest"], old["rest"]):
        found["rest"] = new["rest"]
    return found


def apply_difference(document, changes):
    """The document that results from applying a difference to `document`."""
    parts = {part: dict(items) for part, items in document["parts"].items()}
    for part in changes.get("absent", ()):
        parts.pop(part, None)
    for part, items in changes["set"].items():
        kept_items = parts.setdefault(part, {})
        for name in changes["gone"].get(part, ()):
            kept_items.pop(name, None)
        kept_items.update(items)
        if part in changes["order"]:
            parts[part] = {name: kept_items[name] for name in changes["order"][part]}
    return {
        "edition": changes["edition"],
        "parts": parts,
        "rest": changes.get("rest", document["rest"]),
    }
