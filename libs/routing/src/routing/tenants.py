"""Whose a request is: the tenant that holds its API key.

The index of keys holds digests, so that the time of a lookup tells nothing of the keys
there.  It is made once for each configuration, and nothing else keeps what came of a key:
each attempt of a request asks anew, so a key that was taken away counts for nothing from
the moment at which the configuration that dropped it is in force.
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
# How much of a key's digest is shown, in logs and answers.
_FINGERPRINT_DIGITS = 8
# Where the index stands among what is made once for each configuration.
_INDEX = "tenants by key"


@dataclass(frozen=True)
class Credential:
    """What a caller's request shows of its sender.  `public`: its route asks for no key."""

    key_digest: bytes
    public: bool


@dataclass(frozen=True)
class Tenant:
    """Whom a request is from: nobody in particular if `name` is None.  `rank`: the class of
    the tenant's requests, None if they have their routes'."""

    name: str | None
    rank: int | None


@dataclass(frozen=True)
class _Holder:
    """The tenant that holds a key; `rank` None: its requests have their routes' class."""

    name: str
    rank: int | None


def digest(key):
    """The digest of a key's bytes, by which it is looked up."""
    return hashlib.blake2b(key, digest_size=_DIGEST_BYTES).digest()


def fingerprint(key_digest):
    """What may be shown of a key."""
    return key_digest.hex()[:_FINGERPRINT_DIGITS]


def fingerprint_of_text(key):
    """What may be shown of a key as a configuration tells it."""
    return fingerprint(_digest_of_text(key))


def _digest_of_text(key):
    return digest(key.encode("utf-8", "surrogatepass"))


def _holders(registry):
    """{digest: holder} of all keys; an empty one is nobody's."""
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
    if credential.public or not registries.asks_for_keys(registry):
        return Tenant(None, None)
    return failures.Unauthorized(fingerprint(credential.key_digest))


def authorize(registry, task):
    """Judge a task's key before an attempt: the task gets the tenant that holds it now, and
    that tenant's class.  Returns Unauthorized if there is none, else None."""
    if task.credential is None:
        return None
    found = identify(registry, task.credential)
    if isinstance(found, failures.Failure):
        return found
    task.tenant, task.tenant_rank = found.name, found.rank
    return None


def is_authorized(registry, task):
    """Whether a further attempt of a task would be let through."""
    return task.credential is None or isinstance(identify(registry, task.credential), Tenant)
