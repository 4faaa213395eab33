"""The written layout: one document for all, with routes by host and path prefix, and
tenants with their API keys and rate limits.

A platform's operators may write the layout in a form of their own.  A reader
(given by the platform's adapter) turns each item of theirs into the facts named
here; this module checks the facts, alone and against each other, and makes of
them a section like any partner's, so that placement and routing see no
difference.  Shapes: a route's facts are `host`, `prefix`, `kind` ("safe",
"unsafe" or "stream"), `holdMs`, `aimMs`, `rank`, `split` ((service, weight),
...), `tries`, `resumable`, `pauseMs`, `patienceMs` (how long its callers bear silence, 0
if that isn't known), `public` (whether it asks for no key); a service's are in `_Service`,
a tenant's in `_Tenant`.
"""

from marshmallow import EXCLUDE, Schema, ValidationError, fields, validate
from transport.failures import FieldWrong

__all__ = ["check", "section", "OWNER", "ROUTE", "SERVICE", "TENANT"]

OWNER = "floor"
_MOST = 1e12
_TENANT_DEFAULTS = {"ratePerS": 0.0, "burst": 0.0, "rank": None}


class _Loose(Schema):
    class Meta:
        unknown = EXCLUDE


def _text():
    return fields.String(required=True, validate=validate.Length(min=1, max=300))


def _count(low=0, high=10**9, **more):
    return fields.Integer(strict=True, validate=validate.Range(min=low, max=high), **more)


def _number(low=0.0, **more):
    return fields.Float(validate=validate.Range(min=low, max=_MOST), allow_nan=False, **more)


class _Share(_Loose):
    service = _text()
    weight = _number()


class _Route(_Loose):
    host = _text()
    prefix = fields.String(
        required=True, validate=[validate.Length(min=1, max=1000), validate.Regexp(r"^/(.*/)?$")]
    )
    kind = fields.String(required=True, validate=validate.OneOf(["safe", "unsafe", "stream"]))
    holdMs = fields.Float(
        required=True,
        allow_nan=False,
        validate=validate.Range(min=0, max=_MOST, min_inclusive=False),
    )
    aimMs = _number(load_default=0.0)
    rank = _count(0, 9)
    split = fields.List(fields.Nested(_Share), required=True, validate=validate.Length(min=1))
    tries = _count(1, 1000)
    resumable = fields.Boolean(load_default=False)
    pauseMs = _number(load_default=0.0)
    patienceMs = _number(load_default=0.0)
    public = fields.Boolean(load_default=False)


class _Model(_Loose):
    name = _text()
    roomMb = _number()
    loadMs = _number()
    adapters = fields.List(fields.String(), load_default=list)
    adapterMb = _number()


class _Service(_Loose):
    kind = fields.String(required=True, validate=validate.OneOf(["models", "plain"]))
    healthPath = fields.String(load_default="/health")
    pipesMax = _count()
    warmMs = _number()
    warmPerS = _number()
    slots = _count()
    roomMb = _number()
    adapterPlaces = _count()
    loadsPerS = _number()
    cacheTokens = _count()
    models = fields.List(fields.Nested(_Model), load_default=list)


def _encodable(key):
    """A lone surrogate can't be encoded, so no request could carry the key."""
    try:
        key.encode()
    except UnicodeEncodeError as failed:
        raise ValidationError("Not a Unicode text.") from failed


class _Tenant(_Loose):
    """`ratePerS`: 0 for no limit; `rank`: None for the route's."""

    keys = fields.List(fields.String(validate=[validate.Length(min=1), _encodable]), required=True)
    ratePerS = _number(load_default=0.0)
    burst = _number(load_default=0.0)
    rank = _count(0, 9, allow_none=True, load_default=None)


ROUTE, SERVICE, TENANT = _Route(), _Service(), _Tenant()


def _first(messages, path):
    while isinstance(messages, dict):
        key, messages = next(iter(messages.items()))
        path = f"{path}.{key}"
    return FieldWrong(path, str(messages[0] if isinstance(messages, list) else messages))


def check(routes, services, tenants):
    """FieldWrongs of {name: facts} of each part; empty if all is well."""
    wrong = []
    parts = (
        ("services", SERVICE, services),
        ("routes", ROUTE, routes),
        ("tenants", TENANT, tenants),
    )
    for part, schema, items in parts:
        for name, facts in items.items():
            try:
                schema.load(facts)
            except (ValidationError, TypeError) as failed:
                wrong.append(_first(getattr(failed, "messages", "unreadable"), f"{part}.{name}"))
    return wrong or _clashes(routes, services) + _shared_keys(tenants)


def _shared_keys(tenants):
    """A FieldWrong for each tenant that has a key of an earlier one; keys aren't told."""
    wrong, holders = [], {}
    for name, tenant in tenants.items():
        others = {holders.setdefault(key, name) for key in tenant["keys"]} - {name}
        for other in sorted(others):
            wrong.append(FieldWrong(f"tenants.{name}.keys", f"a key is {other}'s"))
    return wrong


def _clashes(routes, services):
    wrong, taken = [], {}
    for name, route in routes.items():
        place = (route["host"].lower(), route["prefix"])
        if place in taken:
            wrong.append(FieldWrong(f"routes.{name}.prefix", f"same as {taken[place]}'s"))
        taken[place] = name
        if sum(share["weight"] for share in route["split"]) <= 0:
            wrong.append(FieldWrong(f"routes.{name}.split", "weights sum to 0"))
        for share in route["split"]:
            if share["service"] not in services:
                wrong.append(
                    FieldWrong(f"routes.{name}.split", f"no such service {share['service']}")
                )
    return wrong


def section(routes, services, tenants=None):
    """A section like a partner's, of checked routes, services and tenants."""
    models = {
        m["name"]: {
            "roomMb": m.get("roomMb", 0.0),
            "loadMs": m.get("loadMs", 0.0),
            "adapters": _adapters(m),
        }
        for facts in services.values()
        for m in facts.get("models", ())
    }
    made = {}
    for name, facts in services.items():
        per_s = facts.get("loadsPerS", 0.0)
        longest_ms = max((m.get("loadMs", 0.0) for m in facts.get("models", ())), default=0.0)
        made[name] = {
            **facts,
            "shares": {},
            "byDemand": True,
            "loads": {
                "atOnce": max(1, round(per_s * longest_ms / 1000)),
                "perMinute": 60 * per_s,
                "burst": int(per_s / 2) + 2,
                "adapters": False,
            },
        }
    return {
        "services": made,
        "models": models,
        "wishes": {},
        "routes": routes,
        "weightStore": {"atOnce": 0, "perMinute": 0},
        "tenants": {name: {**_TENANT_DEFAULTS, **facts} for name, facts in (tenants or {}).items()},
    }


def _adapters(model):
    facts = {"places": 1, "roomMb": model.get("adapterMb", 0.0)}
    return {name: facts for name in model.get("adapters", ())}
