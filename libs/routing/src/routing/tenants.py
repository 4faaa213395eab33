"""Identifies the tenant of a request by its API key.

The index of keys holds digests, so that the time of a lookup reveals nothing about the keys.  It
is built once for each configuration, and no result of a lookup is kept: each attempt looks its key
up again, so a removed key is refused as soon as the configuration without it is in force.
"""

import hashlib
from dataclasses import dataclass

from configuration import registry as registries
from transport import failures

__all__ = [
    "Credential",
    "Tenant",
    "digest",
    "fingerprint",
    "fingerprint_of_text",
    "identify",
    "authorize",
    "is_authorized",
]

_DIGEST_BYTES = 16
# Digits of a key's digest that are shown in logs and responses.
_FINGERPRINT_DIGITS = 8
# Key of the index in the registry's memo, which is cleared with each configuration.
_INDEX = "tenants by key"


@dataclass(frozen=True)
class Credential:
    """What identifies the sender of a request: the digest of its API key.  `public`: the route
    requires no key."""

    key_digest: bytes
    public: bool


@dataclass(frozen=True)
class Tenant:
    """The tenant of a request; `name` is None if it has none.  `rank` is the class of the tenant's
    requests, None if the route's class applies."""

    name: str | None
    rank: int | None


@dataclass(frozen=True)
class _Holder:
    """The tenant that holds a key; `rank` as in `Tenant`."""

    name: str
    rank: int | None


def digest(key):
    """The digest of a key's bytes, by which it is looked up."""
    return hashlib.blake2b(key, digest_size=_DIGEST_BYTES).digest()


def fingerprint(key_digest):
    """The part of a key's digest that may be shown."""
    return key_digest.hex()[:_FINGERPRINT_DIGITS]


def fingerprint_of_text(key):
    """The fingerprint of a key as it stands in the configuration."""
    return fingerprint(_digest_of_text(key))


def _digest_of_text(key):
    """The digest of a key as it stands in the configuration."""
    return digest(key.encode("utf-8", "surrogatepass"))


def _holders(registry):
    """{digest: holder} of all keys; empty keys are ignored."""
    if _INDEX not in registry.memo:
        registry.memo[_INDEX] = {
            _digest_of_text(key): _Holder(name, facts.get("rank"))
            for name, facts in registries.tenants(registry).items()
            for key in facts["keys"]
            if key
        }
    return registry.memo[_INDEX]


def identify(registry, credential):
    """The Tenant of a request, or Unauthorized, by the configuration in force."""
    holder = _holders(registry).get(credential.key_digest)
    if holder is not None:
        return Tenant(holder.name, holder.rank)
    if credential.public or not registries.requires_keys(registry):
        return Tenant(None, None)
    return failures.Unauthorized(fingerprint(credential.key_digest))


def authorize(registry, task):
    """Check a task's key before an attempt, and set the task's tenant and class.  Returns
    Unauthorized if the key is unknown, else None."""
    if task.credential is None:
        return None
    found = identify(registry, task.credential)
    if isinstance(found, failures.Failure):
        return found
    task.tenant, task.tenant_rank = found.name, found.rank
    return None


def is_authorized(registry, task):
    """Whether a further attempt of the task would be authorized."""
    return task.credential is None or isinstance(identify(registry, task.credential), Tenant)
