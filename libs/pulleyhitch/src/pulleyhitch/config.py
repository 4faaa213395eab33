"""Config: what a process is told about itself, read and checked.

From a TOML file, from flags, or both (flags win).  The bounds are the promises
made to users; every timeout in the system is a ratio of one of them, so there
is one place to make a deployment slower or faster.
"""

import tomllib
from dataclasses import dataclass, field

from marshmallow import RAISE, Schema, ValidationError, fields, validate, validates_schema
from placement import state as dispatching
from quotas import terms as quota_terms
from replication.group import Times
from routing import router
from transport import failures

__all__ = [
    "Bounds",
    "Config",
    "check",
    "placement_settings",
    "quota_settings",
    "read",
    "routing_settings",
    "times",
]

_ADDRESS = validate.Regexp(
    r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$|^\[[0-9a-fA-F:]+\]:\d{1,5}$",
    error="not an IP number and port, like 10.0.0.5:7400",
)
_FEW, _MANY, _PER_CORE = 48, 192, 180
# How long a depot that is told to stop may wait to be replaced: part of the platform's
# patience, or as long as a stop takes anyway where none is told.
_LEAVE, _LEAVE_MS = 0.6, 1000.0
# How long a depot grants after the last mark of a majority, and how long it may leave an ask
# for tenants' tokens unanswered, as parts of `serviceBackMs`.
_TRUST, _SILENT = 2 / 3, 0.008
_NAME = validate.Regexp(r"^[a-z0-9][a-z0-9._-]{0,62}$", error="not a name")


@dataclass(frozen=True)
class Bounds:
    layoutMs: int = 2000
    leavingMs: int = 3000
    evacuateMs: int = 5000
    serviceBackMs: int = 12000
    acknowledgeMs: int = 9000
    turnMs: int = 0
    graceMs: int = 0
    answerMs: int = 0
    quotaWindowMs: int = 5000
    quotaOverrun: float = 0.1
    quotaAllowance: float = 20.0


@dataclass(frozen=True)
class Config:
    name: str
    role: str
    zone: str
    address: str
    http: str
    seeds: tuple
    zones: tuple
    folder: str
    shards: int
    depots: int
    httpThreads: int
    deadlineMs: int
    bounds: Bounds
    tokens: dict
    listen: str = ""
    group_wait: bool = True
    retryRatio: float = 0.1
    retryAllowance: float = 1.0
    retryWindowMs: int = 0
    placers: str = "counter"
    founds: bool = True
    revokeRatio: float = 0.25
    cores: float = 0.0
    worksUnheard: bool = False
    doors: dict = field(default_factory=dict)
    provider: str = ""
    providerLagMs: int = 0
    providerPerS: float = 1.0


class _Strict(Schema):
    class Meta:
        unknown = RAISE


class _BoundsSchema(_Strict):
    layoutMs = fields.Integer(strict=True, load_default=2000, validate=validate.Range(min=100))
    leavingMs = fields.Integer(strict=True, load_default=3000, validate=validate.Range(min=100))
    evacuateMs = fields.Integer(strict=True, load_default=5000, validate=validate.Range(min=100))
    serviceBackMs = fields.Integer(
        strict=True, load_default=12000, validate=validate.Range(min=500)
    )
    acknowledgeMs = fields.Integer(strict=True, load_default=9000, validate=validate.Range(min=100))
    turnMs = fields.Integer(strict=True, load_default=0, validate=validate.Range(min=0))
    graceMs = fields.Integer(strict=True, load_default=0, validate=validate.Range(min=0))
    answerMs = fields.Integer(strict=True, load_default=0, validate=validate.Range(min=0))
    quotaWindowMs = fields.Integer(strict=True, load_default=5000, validate=validate.Range(min=100))
    quotaOverrun = fields.Float(load_default=0.1, validate=validate.Range(min=0, max=10))
    quotaAllowance = fields.Float(load_default=20.0, validate=validate.Range(min=0))


class _ConfigSchema(_Strict):
    name = fields.String(required=True, validate=_NAME)
    role = fields.String(required=True, validate=validate.OneOf(["depot", "counter"]))
    zone = fields.String(required=True, validate=_NAME)
    address = fields.String(required=True, validate=_ADDRESS)
    http = fields.String(required=True, validate=_ADDRESS)
    listen = fields.String(validate=_ADDRESS)
    seeds = fields.List(
        fields.String(validate=_ADDRESS), required=True, validate=validate.Length(min=1, max=16)
    )
    zones = fields.List(fields.String(validate=_NAME), load_default=list)
    folder = fields.String(load_default="")
    shards = fields.Integer(strict=True, load_default=8, validate=validate.Range(min=2, max=256))
    depots = fields.Integer(strict=True, load_default=3, validate=validate.OneOf([1, 3, 5]))
    httpThreads = fields.Integer(strict=True, validate=validate.Range(min=4, max=4096))
    cores = fields.Float(load_default=0.0, validate=validate.Range(min=0))
    deadlineMs = fields.Integer(
        strict=True, load_default=30000, validate=validate.Range(min=1, max=3_600_000)
    )
    bounds = fields.Nested(_BoundsSchema, load_default=lambda: _BoundsSchema().load({}))
    tokens = fields.Dict(
        keys=fields.String(validate=_NAME),
        values=fields.String(validate=validate.Length(min=8)),
        load_default=dict,
    )
    group_wait = fields.Boolean(load_default=True)
    retryRatio = fields.Float(load_default=0.1, validate=validate.Range(min=0, max=1))
    retryAllowance = fields.Float(load_default=1.0, validate=validate.Range(min=0))
    retryWindowMs = fields.Integer(strict=True, load_default=0, validate=validate.Range(min=0))
    placers = fields.String(load_default="counter", validate=validate.OneOf(["counter", "depot"]))
    founds = fields.Boolean(load_default=True)
    revokeRatio = fields.Float(load_default=0.25, validate=validate.Range(min=0.08, max=0.5))
    worksUnheard = fields.Boolean(load_default=False)
    doors = fields.Dict(
        keys=fields.String(validate=validate.OneOf(["callers", "status", "operators"])),
        values=fields.String(validate=_ADDRESS),
        load_default=dict,
    )
    provider = fields.String(load_default="")
    providerLagMs = fields.Integer(strict=True, load_default=0, validate=validate.Range(min=0))
    providerPerS = fields.Float(
        load_default=1.0, validate=validate.Range(min=0, min_inclusive=False)
    )

    @validates_schema
    def _depot_needs_folder(self, data, **_):
        if data.get("role") == "depot" and not data.get("folder"):
            raise ValidationError("a depot needs a data folder", "folder")


def _first(messages, path=""):
    if isinstance(messages, dict):
        key, inner = sorted(messages.items(), key=lambda kv: str(kv[0]))[0]
        return _first(inner, f"{path}.{key}" if path else str(key))
    return path, str(messages[0] if isinstance(messages, list) else messages)


def check(raw):
    """A Config, or ConfigWrong naming the first wrong field."""
    try:
        loaded = _ConfigSchema().load(raw)
    except ValidationError as wrong:
        return failures.ConfigWrong(*_first(wrong.messages))
    for key in ("address", "http"):
        if not 0 < int(loaded[key].rpartition(":")[2]) < 65536:
            return failures.ConfigWrong(key, "port out of range")
    loaded.setdefault("listen", loaded["address"])
    loaded.setdefault("httpThreads", _threads(loaded["cores"]))
    loaded["bounds"] = Bounds(**loaded["bounds"])
    loaded["seeds"], loaded["zones"] = tuple(loaded["seeds"]), tuple(loaded["zones"])
    return Config(**loaded)


def _threads(cores):
    """How many callers are served at once, by what the machine can do, if it is told."""
    return max(_FEW, min(_MANY, int(_PER_CORE * cores))) if cores else _MANY


def read(path, flags):
    """Config from a file (may be None) with flags laid over it."""
    raw = {}
    if path:
        try:
            with open(path, "rb") as source:
                raw = tomllib.load(source)
        except OSError as failed:
            return failures.ConfigWrong("(file)", failed.strerror or "unreadable")
        except (tomllib.TOMLDecodeError, UnicodeDecodeError) as failed:
            return failures.ConfigWrong("(file)", str(failed))
    return check({**raw, **{k: v for k, v in flags.items() if v is not None}})


def times(config):
    back_ms = config.bounds.serviceBackMs
    return Times(
        elect_ms=0.04 * back_ms,
        heartbeat_ms=0.01 * back_ms,
        ping_ms=0.02 * back_ms,
        revoke_ms=config.revokeRatio * back_ms,
        group_wait=config.group_wait,
        depots=config.depots,
        placers=config.placers,
        founds=config.founds,
        leave_ms=_LEAVE * config.bounds.graceMs or _LEAVE_MS,
    )


def placement_settings(config):
    back_ms = config.bounds.serviceBackMs
    return dispatching.Terms(
        call_ms=0.08 * back_ms,
        report_ms=0.15 * config.bounds.leavingMs,
        dark_ms=config.bounds.leavingMs,
        turnMs=config.bounds.turnMs,
        list_ms=max(1000.0 / config.providerPerS, 0.25 * config.bounds.leavingMs),
        lagMs=config.providerLagMs,
    )


def routing_settings(config):
    back_ms = config.bounds.serviceBackMs
    return router.Terms(
        staleMs=float("inf")
        if config.worksUnheard
        else 0.9
        * min(
            config.bounds.layoutMs,
            config.bounds.leavingMs,
            config.bounds.evacuateMs,
            config.bounds.serviceBackMs,
        ),
        ramp_ms=0.5 * back_ms,
        pauseMs=0.04 * back_ms,
        retryRatio=config.retryRatio,
        retryAllowance=config.retryAllowance,
        retryWindowMs=config.retryWindowMs or 0.8 * back_ms,
        leg_ms=10 * back_ms,
    )


def quota_settings(config):
    bounds = config.bounds
    return quota_terms.Terms(
        float(bounds.quotaWindowMs),
        bounds.quotaOverrun,
        bounds.quotaAllowance,
        _TRUST * bounds.serviceBackMs,
        _SILENT * bounds.serviceBackMs,
    )
