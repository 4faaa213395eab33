"""Facts: the routes, services and tenants of a document in a form independent of the platform.

The adapter's Reader (see `documents`) turns each item of a document into the facts described
here.  This module checks the facts, one by one and together, and builds a section from them.  It
has the form of a partner's section, so placement and routing need not distinguish the two.

The facts of a route: `host`, `prefix`, `kind` ("safe", "unsafe" or "stream"), `holdMs` (the
longest time that a request may take), `aimMs` (the target latency), `rank`, `split` ((service,
weight), ...), `tries`, `resumable`, `pauseMs` (the target gap between events), `patienceMs` (the
silence after which its callers give up, 0 if unknown), `public` (no API key is needed).  The
facts of a service are the fields of `_Service`, those of a tenant the fields of `_Tenant`.
"""

from marshmallow import EXCLUDE, Schema, ValidationError, fields, validate
from transport.failures import FieldWrong

__all__ = ["check", "section", "size_fault", "OWNER", "ROUTE", "SERVICE", "TENANT"]

# The key of this section among the sections of partners.
OWNER = "floor"
_MAX_NUMBER = 1e12
# What every node holds facts of, several times over while a change is applied.
_MAX_ITEMS = {"routes": 20_000, "services": 1_000, "tenants": 20_000}
_MAX_MODELS, _MAX_ADAPTERS = 10_000, 50_000
_TENANT_DEFAULTS = {"ratePerS": 0.0, "burst": 0.0, "rank": None}


class _IgnoreUnknown(Schema):
    class Meta:
        unknown = EXCLUDE


def _text():
    return fields.String(required=True, validate=validate.Length(min=1, max=300))


def _count(low=0, high=10**9, **more):
    return fields.Integer(strict=True, validate=validate.Range(min=low, max=high), **more)


def _number(low=0.0, **more):
    return fields.Float(validate=validate.Range(min=low, max=_MAX_NUMBER), allow_nan=False, **more)


class _Share(_IgnoreUnknown):
    service = _text()
    weight = _number()


class _Route(_IgnoreUnknown):
    host = _text()
    prefix = fields.String(
        required=True, validate=[validate.Length(min=1, max=1000), validate.Regexp(r"^/(.*/)?$")]
    )
    kind = fields.String(required=True, validate=validate.OneOf(["safe", "unsafe", "stream"]))
    holdMs = fields.Float(
        required=True,
        allow_nan=False,
        validate=validate.Range(min=0, max=_MAX_NUMBER, min_inclusive=False),
    )
    aimMs = _number(load_default=0.0)
    rank = _count(0, 9)
    split = fields.List(fields.Nested(_Share), required=True, validate=validate.Length(min=1))
    tries = _count(1, 1000)
    resumable = fields.Boolean(load_default=False)
    pauseMs = _number(load_default=0.0)
    patienceMs = _number(load_default=0.0)
    public = fields.Boolean(load_default=False)


class _Model(_IgnoreUnknown):
    name = _text()
    roomMb = _number()
    loadMs = _number()
    adapters = fields.List(fields.String(), load_default=list)
    adapterMb = _number()


class _Service(_IgnoreUnknown):
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
    """Rejects lone surrogates: they can't be encoded, so no request could contain the key."""
    try:
        key.encode()
    except UnicodeEncodeError as failed:
        raise ValidationError("Not a Unicode text.") from failed


class _Tenant(_IgnoreUnknown):
    """The facts of a tenant; `ratePerS`: 0 for no limit; `rank`: None for the route's rank."""

    keys = fields.List(fields.String(validate=[validate.Length(min=1), _encodable]), required=True)
    ratePerS = _number(load_default=0.0)
    burst = _number(load_default=0.0)
    rank = _count(0, 9, allow_none=True, load_default=None)


ROUTE, SERVICE, TENANT = _Route(), _Service(), _Tenant()


def _first_fault(messages, path):
    while isinstance(messages, dict):
        key, messages = next(iter(messages.items()))
        path = f"{path}.{key}"
    return FieldWrong(path, str(messages[0] if isinstance(messages, list) else messages))


def size_fault(routes, services, tenants):
    """A FieldWrong if there are more items than nodes can hold, else None."""
    models = [model for facts in services.values() for model in facts.get("models", ())]
    counts = (
        ("routes", len(routes), _MAX_ITEMS["routes"]),
        ("services", len(services), _MAX_ITEMS["services"]),
        ("tenants", len(tenants), _MAX_ITEMS["tenants"]),
        ("models", len(models), _MAX_MODELS),
        ("adapters", sum(len(model.get("adapters", ())) for model in models), _MAX_ADAPTERS),
    )
    for name, count, limit in counts:
        if count > limit:
            return FieldWrong(name, f"{count}, more than {limit}")
    return None


def check(routes, services, tenants):
    """A list of FieldWrong for the facts, by name, of each part; empty if they are valid."""
    too_many = size_fault(routes, services, tenants)
    if too_many is not None:
        return [too_many]
    faults = []
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
                faults.append(
                    _first_fault(getattr(failed, "messages", "unreadable"), f"{part}.{name}")
                )
    return faults or _check_routes(routes, services) + _shared_keys(tenants)


def _shared_keys(tenants):
    """A FieldWrong for each tenant with a key of an earlier tenant; it doesn't reveal the key."""
    faults, owners = [], {}
    for name, tenant in tenants.items():
        others = {owners.setdefault(key, name) for key in tenant["keys"]} - {name}
        for other in sorted(others):
            faults.append(FieldWrong(f"tenants.{name}.keys", f"a key is {other}'s"))
    return faults


def _check_routes(routes, services):
    faults, names = [], {}
    for name, route in routes.items():
        route_key = (route["host"].lower(), route["prefix"])
        if route_key in names:
            faults.append(FieldWrong(f"routes.{name}.prefix", f"same as {names[route_key]}'s"))
        names[route_key] = name
        if sum(share["weight"] for share in route["split"]) <= 0:
            faults.append(FieldWrong(f"routes.{name}.split", "weights sum to 0"))
        for share in route["split"]:
            if share["service"] not in services:
                faults.append(
                    FieldWrong(f"routes.{name}.split", f"no such service {share['service']}")
                )
    return faults


def section(routes, services, tenants=None):
    """A section in the form of a partner's, built from valid routes, services and tenants."""
    models = {
        m["name"]: {
            "roomMb": m.get("roomMb", 0.0),
            "loadMs": m.get("loadMs", 0.0),
            "adapters": _adapters(m),
        }
        for facts in services.values()
        for m in facts.get("models", ())
    }
    section_services = {}
    for name, facts in services.items():
        per_s = facts.get("loadsPerS", 0.0)
        longest_ms = max((m.get("loadMs", 0.0) for m in facts.get("models", ())), default=0.0)
        section_services[name] = {
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
        "services": section_services,
        "models": models,
        "wishes": {},
        "routes": routes,
        "weightStore": {"atOnce": 0, "perMinute": 0},
        "tenants": {name: {**_TENANT_DEFAULTS, **facts} for name, facts in (tenants or {}).items()},
    }


def _adapters(model):
    facts = {"places": 1, "roomMb": model.get("adapterMb", 0.0)}
    return {name: facts for name in model.get("adapters", ())}
