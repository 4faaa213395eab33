"""Every way to fail, as a type.

A failure is a frozen dataclass with a class-level `tag` (its stable name for
programs) and `status` (the HTTP status it maps to).  Whoever hands one to a
person or a caller uses `as_json`; nothing in the system fails with a bare
string.
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
    "RefusedBefore",
    "AddressTaken",
    "Unreachable",
    "as_json",
    "retry_after",
    "for_started_request",
    "NOT_RUN_STATUSES",
]

# Statuses by which a caller is promised that its request has not run and never will.
NOT_RUN_STATUSES = (401, 408, 421, 429, 503)


@dataclass(frozen=True)
class Failure:
    tag: ClassVar[str] = "failure"
    status: ClassVar[int] = 500


@dataclass_transform(frozen_default=True)
def _kind(tag, status):
    def wrap(cls):
        cls.tag, cls.status = tag, status
        return dataclass(frozen=True)(cls)

    return wrap


@_kind("field-wrong", 422)
class FieldWrong(Failure):
    field: str
    cause: str


@_kind("layout-wrong", 422)
class LayoutWrong(Failure):
    fields: tuple[FieldWrong, ...]


@_kind("stamp-stale", 409)
class StampStale(Failure):
    expected: int
    current: int


@_kind("wrong-partner", 403)
class WrongPartner(Failure):
    partner: str
    section: str


@_kind("body-oversized", 413)
class BodyOversized(Failure):
    limitBytes: int


@_kind("body-malformed", 400)
class BodyMalformed(Failure):
    cause: str


@_kind("body-incomplete", 408)
class BodyIncomplete(Failure):
    """The request ended before its body did; what was sent in full may be sent again."""


@_kind("unauthorized", 401)
class Unauthorized(Failure):
    """No tenant holds the request's API key; of the key, only a fingerprint is told."""

    fingerprint: str


@_kind("unknown-model", 404)
class UnknownModel(Failure):
    service: str
    model: str


@_kind("unknown-service", 404)
class UnknownService(Failure):
    service: str


@_kind("not-found", 404)
class NotFound(Failure):
    what: str


@_kind("overloaded", 503)
class Overloaded(Failure):
    retryMs: int
    cause: str


@_kind("no-room", 503)
class NoRoom(Failure):
    retryMs: int
    model: str
    cause: str


@_kind("quota-exceeded", 429)
class QuotaExceeded(Failure):
    """The request is over its tenant's limit; `retryMs`: when the next one may be let in."""

    tenant: str
    retryMs: int


@_kind("stale", 503)
class Stale(Failure):
    """This node has not heard a confirmed mark lately and gives out no work."""

    retryMs: int
    age_ms: int


@_kind("edition-ahead", 503)
class EditionAhead(Failure):
    """The change builds on an edition that isn't there yet and may be on its way."""

    expected: int
    current: int


@_kind("no-holder", 503)
class NoHolder(Failure):
    retryMs: int
    shard: int


@_kind("outcome-unknown", 502)
class OutcomeUnknown(Failure):
    """The work may have run; asking again may run it a second time."""

    cause: str


@_kind("engine-failed", 502)
class EngineFailed(Failure):
    engine: str
    code: int


@_kind("deadline-passed", 504)
class DeadlinePassed(Failure):
    retryMs: int
    ran: bool


@_kind("stream-cut", 502)
class StreamCut(Failure):
    cause: str
    pieces: int


@_kind("config-wrong", 500)
class ConfigWrong(Failure):
    field: str
    cause: str


@_kind("no-tokens", 200)
class NoTokens(Failure):
    """A warning, not an end: an operator's partner is only a claim here."""

    cause: str


@_kind("folder-in-use", 500)
class FolderInUse(Failure):
    folder: str


@_kind("folder-unwritable", 500)
class FolderUnwritable(Failure):
    folder: str
    cause: str


@_kind("disk-untrusted", 500)
class DiskUntrusted(Failure):
    file: str
    cause: str


@_kind("majority-lost", 503)
class MajorityLost(Failure):
    retryMs: int


@dataclass(frozen=True)
class RefusedBefore(Failure):
    """The answer a change got when it was first refused, told again."""

    status: int = 409
    told: dict = dataclasses.field(default_factory=dict)


@_kind("core-broke", 500)
class CoreBroke(Failure):
    """A defect of ours: the process stops rather than go on half alive."""

    event: str
    error: str


@_kind("address-taken", 500)
class AddressTaken(Failure):
    address: str


@_kind("unreachable", 502)
class Unreachable(Failure):
    node: str


def as_json(failure):
    if isinstance(failure, RefusedBefore):
        return {**failure.told, "again": True}
    return {"failure": failure.tag, **dataclasses.asdict(failure)}


def for_started_request(failure):
    """What may be told of work that may have run: nothing that promises it hasn't."""
    return OutcomeUnknown("leg-broken") if failure.status in NOT_RUN_STATUSES else failure


def retry_after(failure):
    """Whole seconds for the Retry-After header, or None where none belongs."""
    wait_ms = getattr(failure, "retryMs", None)
    return None if wait_ms is None else max(1, -(-int(wait_ms) // 1000))
