"""Compression of what our processes send one another.

News of the log goes to every node and is mostly short JSON of a few kinds, so both sides
start from a dictionary of its usual words.  The same bytes go to many nodes in a row:
what was compressed last is kept.
"""

import functools
import zlib

__all__ = ["DecompressionError", "compress", "decompress"]

# Shorter bodies gain less than they cost.
_LEAST_BYTES = 160
# Longer ones are not kept, since each goes to few nodes.
_MOST_KEPT_BYTES = 1 << 14
_KEPT = 64
_LEVEL = 4
# The usual words of records, the most frequent last, as zlib wants them.  Both sides of a
# connection must have the same ones: a change of them is a change of the frames' form.
_WORDS = (
    b'{"k":"found","engine":"","incarnation":"","items":{},"service":"","keep":[]}'
    b'{"k":"suspect","engine":""}{"k":"cleared","engine":""}{"k":"dropped","engine":""}'
    b'"state":"refused"}"state":"unknown"}"state":"forgotten"}"why":"left","why":"gone"'
    b'{"engine":"i-","item":"","k":"order","mb":72700.0,"order":"","places":0,"service":"",'
    b'"verb":"unload"}"mb":65099.99999999999,"mb":66.0,"places":1,"verb":"load"}'
    b'{"hold":{"adapter":"a1","class":"rank0","id":"","life":"","model":"","node":"",'
    b'"service":"","waitMs":1},"k":"hold"}{"id":"","k":"unhold","retryMs":0,"why":"served"}'
    b'{"engine":"i-","item":"","k":"state","order":"","state":"unloaded"}'
    b'"state":"taken"}"state":"loaded"}'
)


class DecompressionError(Exception):
    """Bytes that are no compressed body, or one of more than the bytes allowed."""


def compress(body):
    """A shorter form of some bytes, or None if there is none worth having."""
    if len(body) < _LEAST_BYTES:
        return None
    if len(body) > _MOST_KEPT_BYTES:
        return _compress(body)
    return _compress_cached(body)


def _compress(body):
    packer = zlib.compressobj(_LEVEL, zdict=_WORDS)
    made = packer.compress(body) + packer.flush()
    return made if len(made) < len(body) else None


_compress_cached = functools.lru_cache(maxsize=_KEPT)(_compress)


def decompress(data, most_bytes):
    """The bytes of a compressed form; raises DecompressionError if it is cut, spoilt, longer than
    `most_bytes`, or followed by anything."""
    unpacker = zlib.decompressobj(zdict=_WORDS)
    try:
        body = unpacker.decompress(data, most_bytes)
    except zlib.error as wrong:
        raise DecompressionError(str(wrong)) from wrong
    if not unpacker.eof or unpacker.unused_data:
        raise DecompressionError("not whole")
    return body
