"""Failures: the errors that are reported to callers and operators, one type for each.

A failure is a frozen dataclass with a class-level `tag` (its stable name for programs) and
`status` (the HTTP status it maps to).  `as_json` returns the form in which it is sent and
logged, with the fields under their own names.
"""

import dataclasses
from dataclasses import dataclass
from typing import ClassVar, dataclass_transform

__all__ = [
    "Failure",
    "FieldWrong",
    "LayoutWrong",
    "StampStale",
    "WrongPartner",
    "BodyOversized",
    "BodyIncomplete",
    "BodyMalformed",
    "Unauthorized",
    "UnknownModel",
    "UnknownService",
    "NotFound",
    "Overloaded",
    "NoRoom",
    "Stale",
    "NoHolder",
    "QuotaExceeded",
    "OutcomeUnknown",
    "EditionAhead",
    "EngineFailed",
    "DeadlinePassed",
    "StreamCut",
    "ConfigWrong",
    "NoTokens",
    "FolderInUse",
    "FolderUnwritable",
    "DiskUntrusted",
    "MajorityLost",
    "CoreBroke",
    "EarlierRefusal",
    "AddressTaken",
    "AddressUnusable",
    "Unreachable",
    "as_json",
    "retry_after",
    "for_started_request",
    "NOT_RUN_STATUSES",
    "WHOLE_FILE",
]

WHOLE_FILE = "(file)"

# Statuses which guarantee that the request has not run and never will.
NOT_RUN_STATUSES = (401, 408, 421, 429, 503)


@dataclass(frozen=True)
class Failure:
    """Base class of all failures."""

    tag: ClassVar[str] = "failure"
    status: ClassVar[int] = 500


@dataclass_transform(frozen_default=True)
def _failure(tag, status):
    def wrap(cls):
        cls.tag, cls.status = tag, status
        return dataclass(frozen=True)(cls)

    return wrap


@_failure("field-wrong", 422)
class FieldWrong(Failure):
    """A field of a request or document is invalid; `field` is its path."""

    field: str
    cause: str


@_failure("layout-wrong", 422)
class LayoutWrong(Failure):
    """A configuration has invalid fields."""

    fields: tuple[FieldWrong, ...]


@_failure("stamp-stale", 409)
class StampStale(Failure):
    """A change was based on another version of the configuration than the current one."""

    expected: int
    current: int


@_failure("wrong-partner", 403)
class WrongPartner(Failure):
    """An operator tried to change another partner's section."""

    partner: str
    section: str


@_failure("body-oversized", 413)
class BodyOversized(Failure):
    """The request's body is longer than allowed."""

    limitBytes: int


@_failure("body-malformed", 400)
class BodyMalformed(Failure):
    """The request's body, or a header that belongs to it, can't be read."""

    cause: str


@_failure("body-incomplete", 408)
class BodyIncomplete(Failure):
    """The connection ended within the request's body, so the client may send the request again."""


@_failure("unauthorized", 401)
class Unauthorized(Failure):
    """The request's API key belongs to no tenant; only a fingerprint of the key is reported."""

    fingerprint: str


@_failure("unknown-model", 404)
class UnknownModel(Failure):
    """The service has no such model."""

    service: str
    model: str


@_failure("unknown-service", 404)
class UnknownService(Failure):
    """No such service is configured."""

    service: str


@_failure("not-found", 404)
class NotFound(Failure):
    """There is nothing under the requested path or name."""

    what: str


@_failure("overloaded", 503)
class Overloaded(Failure):
    """The request can't be served now for lack of capacity; `cause` is the exhausted resource."""

    retryMs: int
    cause: str


@_failure("no-room", 503)
class NoRoom(Failure):
    """No engine has the model loaded; `cause` is why none loads it in time."""

    retryMs: int
    model: str
    cause: str


@_failure("quota-exceeded", 429)
class QuotaExceeded(Failure):
    """The request exceeds its tenant's rate limit; the next may be admitted after `retryMs`."""

    tenant: str
    retryMs: int


@_failure("stale", 503)
class Stale(Failure):
    """This node doesn't route: its copy of the log hasn't recently been confirmed as current."""

    retryMs: int
    age_ms: int


@_failure("edition-ahead", 503)
class EditionAhead(Failure):
    """The change is based on a later edition than the current one; that one may still arrive."""

    expected: int
    current: int


@_failure("no-holder", 503)
class NoHolder(Failure):
    """No node is currently known to hold the lease of the shard."""

    retryMs: int
    shard: int


@_failure("outcome-unknown", 502)
class OutcomeUnknown(Failure):
    """The request may have run; a retry may run it a second time."""

    cause: str


@_failure("engine-failed", 502)
class EngineFailed(Failure):
    """An engine answered with an error status."""

    engine: str
    code: int


@_failure("deadline-passed", 504)
class DeadlinePassed(Failure):
    """The request's deadline has passed; `ran`: whether it may have run."""

    retryMs: int
    ran: bool


@_failure("stream-cut", 502)
class StreamCut(Failure):
    """A stream was cut off after `pieces` pieces of the response."""

    cause: str
    pieces: int


@_failure("config-wrong", 500)
class ConfigWrong(Failure):
    """A setting of the process is invalid; `field` is WHOLE_FILE if the file can't be read."""

    field: str
    cause: str


@_failure("no-tokens", 200)
class NoTokens(Failure):
    """A warning at start: without [tokens] in the settings, partner names aren't verified."""

    cause: str


@_failure("folder-in-use", 500)
class FolderInUse(Failure):
    """Another process uses the data folder."""

    folder: str


@_failure("folder-unwritable", 500)
class FolderUnwritable(Failure):
    """The data folder can't be written."""

    folder: str
    cause: str


@_failure("disk-untrusted", 500)
class DiskUntrusted(Failure):
    """A stored file is damaged or a write to it failed."""

    file: str
    cause: str


@_failure("majority-lost", 503)
class MajorityLost(Failure):
    """The log didn't commit a change or confirm a read; it may have lost its majority."""

    retryMs: int


@dataclass(frozen=True)
class EarlierRefusal(Failure):
    """A change that was refused before is refused again with the same status and body."""

    status: int = 409
    body: dict = dataclasses.field(default_factory=dict)


@_failure("core-broke", 500)
class CoreBroke(Failure):
    """An unexpected exception: the process stops, since its state may be inconsistent."""

    event: str
    error: str


@_failure("address-taken", 500)
class AddressTaken(Failure):
    """The listen address is in use."""

    address: str


@_failure("address-unusable", 500)
class AddressUnusable(Failure):
    """The process can't listen at an address, for another reason than that it is in use."""

    address: str
    cause: str


@_failure("unreachable", 502)
class Unreachable(Failure):
    """A node can't be reached."""

    node: str


def as_json(failure):
    """A failure as the JSON object that is sent and logged."""
    if isinstance(failure, EarlierRefusal):
        return {**failure.body, "again": True}
    return {"failure": failure.tag, **dataclasses.asdict(failure)}


def for_started_request(failure):
    """Replaces a failure whose status means "not run", since a started request may have run."""
    return OutcomeUnknown("leg-broken") if failure.status in NOT_RUN_STATUSES else failure


def retry_after(failure):
    """Whole seconds for the Retry-After header, or None if the failure has no `retryMs`."""
    wait_ms = getattr(failure, "retryMs", None)
    return None if wait_ms is None else max(1, -(-int(wait_ms) // 1000))
