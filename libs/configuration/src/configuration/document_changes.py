"""What makes one document of another: logged in place of the whole, and laid over it again.

A change is {"edition", "set": {part: {name: item}}, "gone": {part: [name]}, "order":
{part: [name]}, "absent": [part], "rest"}; "order" stands only where items moved,
"absent" only where a whole part went, "rest" only where the rest changed.
"""

import json

__all__ = ["apply_difference", "difference", "reuse_unchanged"]


def _same(old, new):
    """Whether both read back alike: 1, 1.0 and true are equal and don't."""
    return old is new or (old == new and json.dumps(old) == json.dumps(new))


def reuse_unchanged(old, new, touched):
    """Put the very items of `old` in place of those of `new` that read back alike, among
    the names `touched` of each part."""
    for part, items in new["parts"].items():
        before = old["parts"].get(part, {})
        for name in touched[part] & items.keys() & before.keys():
            if _same(before[name], items[name]):
                items[name] = before[name]


def difference(old, new):
    """The change that makes `new` of `old`."""
    told = {"edition": new["edition"], "set": {}, "gone": {}, "order": {}}
    for part, items in new["parts"].items():
        before = old["parts"].get(part, {})
        told["set"][part] = {n: i for n, i in items.items() if before.get(n) is not i}
        told["gone"][part] = [n for n in before if n not in items]
        like = [n for n in before if n in items] + [n for n in items if n not in before]
        if like != list(items):
            told["order"][part] = list(items)
    absent = [part for part in old["parts"] if part not in new["parts"]]
    if absent:
        told["absent"] = absent
    if not _same(new["rest"], old["rest"]):
        told["rest"] = new["rest"]
    return told


def apply_difference(document, told):
    """A document with a change laid over it."""
    parts = {part: dict(items) for part, items in document["parts"].items()}
    for part in told.get("absent", ()):
        parts.pop(part, None)
    for part, items in told["set"].items():
        kept = parts.setdefault(part, {})
        for name in told["gone"].get(part, ()):
            kept.pop(name, None)
        kept.update(items)
        if part in told["order"]:
            parts[part] = {name: kept[name] for name in told["order"][part]}
    return {"edition": told["edition"], "parts": parts, "rest": told.get("rest", document["rest"])}
