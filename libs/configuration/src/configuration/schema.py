"""The schema of a partner's section of the layout, checked by marshmallow.

A section holds the partner's services (engine pools), its models with their adapters, its
wishes (how many copies of a model to keep loaded), its routes and its weight store.  This
module checks a section by itself; `merging` checks it together with the others.
"""

import re

from marshmallow import RAISE, Schema, ValidationError, fields, validate
from transport.failures import FieldWrong

__all__ = ["check", "CLASSES", "RANK", "rank_of"]

RANK = {"lookup": 0, "reroute": 0, "counter": 0, "update": 1, "draft": 1, "plan": 2, "review": 2}
CLASSES = tuple(RANK)


def rank_of(cls):
    """The rank (priority) of a class: from RANK or the number after "rank"; 0 is the highest."""
    return RANK[cls] if cls in RANK else int(cls[4:] or 2) if cls[:4] == "rank" else 2


_NAME = validate.Regexp(
    re.compile(r"^[a-z0-9][a-z0-9._-]{0,62}$"), error="not a name: small letters, digits, . _ -"
)


def _integer(low, high):
    return fields.Integer(strict=True, required=True, validate=validate.Range(min=low, max=high))


def _by_name(inner, max_items):
    return fields.Dict(
        keys=fields.String(validate=_NAME),
        values=inner,
        validate=validate.Length(max=max_items),
        load_default=dict,
    )


class _RejectUnknown(Schema):
    class Meta:
        unknown = RAISE


class _Loads(_RejectUnknown):
    atOnce = _integer(0, 1000)
    perMinute = _integer(0, 100000)


class _Service(_RejectUnknown):
    kind = fields.String(required=True, validate=validate.OneOf(["models", "plain"]))
    shares = fields.Dict(
        keys=fields.String(validate=_NAME),
        values=fields.Float(validate=validate.Range(min=0, max=1), allow_nan=False),
        load_default=dict,
    )
    loads = fields.Nested(_Loads, load_default=lambda: {"atOnce": 0, "perMinute": 0})


class _Adapter(_RejectUnknown):
    places = fields.Integer(strict=True, load_default=1, validate=validate.Range(min=1, max=64))


class _Model(_RejectUnknown):
    roomMb = _integer(1, 10_000_000)
    adapters = _by_name(fields.Nested(_Adapter), 1000)


class _Wish(_RejectUnknown):
    service = fields.String(required=True, validate=_NAME)
    model = fields.String(required=True, validate=_NAME)
    adapter = fields.String(load_default="", validate=validate.Length(max=63))
    copies = _integer(0, 1000)
    zones = fields.List(fields.String(validate=_NAME), load_default=list)
    yields = fields.Integer(strict=True, load_default=50, validate=validate.Range(min=0, max=100))


class _Route(_RejectUnknown):
    service = fields.String(required=True, validate=_NAME)
    model = fields.String(load_default="")
    adapter = fields.String(load_default="")
    cls = fields.String(data_key="class", load_default="update", validate=validate.OneOf(CLASSES))


class _Section(_RejectUnknown):
    services = _by_name(fields.Nested(_Service), 64)
    models = _by_name(fields.Nested(_Model), 1000)
    wishes = _by_name(fields.Nested(_Wish), 4000)
    routes = _by_name(fields.Nested(_Route), 20000)
    weightStore = fields.Nested(_Loads, load_default=lambda: {"atOnce": 0, "perMinute": 0})


_SECTION = _Section()


def _flatten(messages, path=""):
    if isinstance(messages, dict):
        for key, inner in messages.items():
            step = "" if key in ("value", "_schema") else str(key)
            yield from _flatten(inner, ".".join(p for p in (path, step) if p))
    else:
        for text in messages if isinstance(messages, list) else [messages]:
            yield FieldWrong(path or "(whole)", str(text))


def check(section):
    """Return (section with defaults filled in or None, list of FieldWrong)."""
    if not isinstance(section, dict):
        return None, [FieldWrong("(whole)", "not an object")]
    try:
        loaded = _SECTION.load(section)
    except ValidationError as error:
        return None, sorted(_flatten(error.messages), key=lambda fault: fault.field)
    return _SECTION.dump(loaded), []
