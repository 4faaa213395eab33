"""Configuration of a process, read from a TOML file, from flags, or both (flags take precedence).

The bounds are service levels that users rely on.  Every timeout in the system is a ratio of one
of them, so that changing the bounds is enough to make a deployment slower or faster.
"""

import tomllib
from dataclasses import dataclass, field

from marshmallow import RAISE, Schema, ValidationError, fields, validate, validates_schema
from placement import state as placement_state
from quotas import settings as rate_limit_settings
from replication.group import GroupSettings
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
    error="not an IP address and port, like 10.0.0.5:7400",
)
_MIN_THREADS, _MAX_THREADS, _THREADS_PER_CORE = 48, 192, 180
# How long a stopping depot may wait to be replaced in the membership: a part of `graceMs`, or a
# fixed time if that is 0.
_LEAVE_RATIO, _DEFAULT_LEAVE_MS = 0.6, 1000.0
# Parts of `serviceBackMs`: how long after the last confirmation by a majority a depot grants
# tokens, and how long a depot may leave a request unanswered before it counts as silent.
_TRUST_RATIO, _SILENT_RATIO = 2 / 3, 0.008
# The part of `memoryMb` that requests and responses may hold, and what they may without a limit.
_BUDGET_RATIO, _DEFAULT_BUDGET_BYTES = 0.4, 64 << 20
_NAME = validate.Regexp(r"^[a-z0-9][a-z0-9._-]{0,62}$", error="not a valid name")


@dataclass(frozen=True)
class Bounds:
    """Service levels, most in milliseconds; the names are those of the config file."""

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
    """Settings of one process; the names are those of the config file.

    Peers connect to `address`, the process binds `listen`.  `doors` holds the addresses of the
    platform's interfaces: callers, status, operators.  `placers` is the role that may hold leases
    of shards, `revokeRatio` the part of `serviceBackMs` after which they are revoked.  `founds`:
    an empty depot may take part in founding a log.  `worksUnheard`: requests are routed however
    old the last confirmation of this node's state is.  `provider` is the address of the
    platform's list of engines.  `memoryMb`: a process that takes more is ended, 0 if unknown."""

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
    memoryMb: int = 0

    @property
    def budget_bytes(self):
        """The bytes of requests and responses that the process may hold at a time."""
        return int(_BUDGET_RATIO * (self.memoryMb << 20)) or _DEFAULT_BUDGET_BYTES


class _StrictSchema(Schema):
    class Meta:
        unknown = RAISE


class _BoundsSchema(_StrictSchema):
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


class _ConfigSchema(_StrictSchema):
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
    memoryMb = fields.Integer(strict=True, load_default=0, validate=validate.Range(min=0))
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


def _first_error(messages, path=""):
    if isinstance(messages, dict):
        key, inner = sorted(messages.items(), key=lambda item: str(item[0]))[0]
        return _first_error(inner, f"{path}.{key}" if path else str(key))
    return path, str(messages[0] if isinstance(messages, list) else messages)


def check(raw):
    """Validate raw settings: a Config, or ConfigWrong with the first invalid field."""
    try:
        loaded = _ConfigSchema().load(raw)
    except ValidationError as error:
        return failures.ConfigWrong(*_first_error(error.messages))
    for key in ("address", "http"):
        if not 0 < int(loaded[key].rpartition(":")[2]) < 65536:
            return failures.ConfigWrong(key, "port out of range")
    loaded.setdefault("listen", loaded["address"])
    loaded.setdefault("httpThreads", _http_threads(loaded["cores"]))
    loaded["bounds"] = Bounds(**loaded["bounds"])
    loaded["seeds"], loaded["zones"] = tuple(loaded["seeds"]), tuple(loaded["zones"])
    return Config(**loaded)


def _http_threads(cores):
    """Number of HTTP threads, by the cores of the machine if they are configured."""
    return (
        max(_MIN_THREADS, min(_MAX_THREADS, int(_THREADS_PER_CORE * cores)))
        if cores
        else _MAX_THREADS
    )


def read(path, flags):
    """Config from a TOML file (no file if `path` is None), overridden by the flags that are set;
    ConfigWrong if it is unreadable or invalid."""
    raw = {}
    if path:
        try:
            with open(path, "rb") as source:
                raw = tomllib.load(source)
        except OSError as error:
            return failures.ConfigWrong(failures.WHOLE_FILE, error.strerror or "unreadable")
        except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
            return failures.ConfigWrong(failures.WHOLE_FILE, str(error))
    return check({**raw, **{k: v for k, v in flags.items() if v is not None}})


def times(config):
    """Timeouts of replication, leases and heartbeats."""
    service_back_ms = config.bounds.serviceBackMs
    return GroupSettings(
        election_ms=0.04 * service_back_ms,
        heartbeat_ms=0.01 * service_back_ms,
        ping_ms=0.02 * service_back_ms,
        revoke_ms=config.revokeRatio * service_back_ms,
        group_wait=config.group_wait,
        depots=config.depots,
        placers=config.placers,
        founds=config.founds,
        leave_ms=_LEAVE_RATIO * config.bounds.graceMs or _DEFAULT_LEAVE_MS,
    )


def placement_settings(config):
    """Settings of the placers."""
    service_back_ms = config.bounds.serviceBackMs
    return placement_state.PlacerSettings(
        call_timeout_ms=0.08 * service_back_ms,
        report_interval_ms=0.15 * config.bounds.leavingMs,
        unreachable_ms=config.bounds.leavingMs,
        turnMs=config.bounds.turnMs,
        list_interval_ms=max(1000.0 / config.providerPerS, 0.25 * config.bounds.leavingMs),
        lagMs=config.providerLagMs,
    )


def routing_settings(config):
    """Settings of the router."""
    service_back_ms = config.bounds.serviceBackMs
    return router.RoutingSettings(
        staleMs=float("inf")
        if config.worksUnheard
        else 0.9
        * min(
            config.bounds.layoutMs,
            config.bounds.leavingMs,
            config.bounds.evacuateMs,
            config.bounds.serviceBackMs,
        ),
        ramp_ms=0.5 * service_back_ms,
        pauseMs=0.04 * service_back_ms,
        retryRatio=config.retryRatio,
        retryAllowance=config.retryAllowance,
        retryWindowMs=config.retryWindowMs or 0.8 * service_back_ms,
        attempt_ms=10 * service_back_ms,
    )


def quota_settings(config):
    """Settings of tenants' rate limits."""
    bounds = config.bounds
    return rate_limit_settings.QuotaSettings(
        float(bounds.quotaWindowMs),
        bounds.quotaOverrun,
        bounds.quotaAllowance,
        _TRUST_RATIO * bounds.serviceBackMs,
        _SILENT_RATIO * bounds.serviceBackMs,
    )
