"""Compression of messages between processes.

Log entries go to every node and are mostly short JSON records of a few kinds, so both sides
use a preset zlib dictionary of strings that are frequent in them.  The same bytes are often
sent to many nodes in a row, so the latest results are cached.
"""

import functools
import zlib

__all__ = ["DecompressionError", "compress", "decompress"]

# Shorter bodies gain less than compressing them costs.
_MIN_BYTES = 160
# Results for longer bodies are not cached, since each such body is sent to few nodes.
_MAX_CACHED_BYTES = 1 << 14
_CACHE_SIZE = 64
_LEVEL = 4
# Preset dictionary: frequent strings of records, the most frequent last, as zlib recommends.
# Both sides of a connection must use the same bytes: changing them changes the frame format.
_DICTIONARY = (
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
    """The bytes are not a compressed body, or the body is longer than allowed."""


def compress(body):
    """The compressed body, or None if the body is short or compressing doesn't shorten it."""
    if len(body) < _MIN_BYTES:
        return None
    if len(body) > _MAX_CACHED_BYTES:
        return _compress(body)
    return _compress_cached(body)


def _compress(body):
    compressor = zlib.compressobj(_LEVEL, zdict=_DICTIONARY)
    result = compressor.compress(body) + compressor.flush()
    return result if len(result) < len(body) else None


_compress_cached = functools.lru_cache(maxsize=_CACHE_SIZE)(_compress)


def decompress(data, max_bytes):
    """The body of which `data` is the compressed form.

    Raises DecompressionError if `data` is truncated, corrupt or followed by other bytes, or if
    the body is longer than `max_bytes`.
    """
    decompressor = zlib.decompressobj(zdict=_DICTIONARY)
    try:
        body = decompressor.decompress(data, max_bytes)
    except zlib.error as error:
        raise DecompressionError(str(error)) from error
    if not decompressor.eof or decompressor.unused_data:
        raise DecompressionError("truncated, too long or followed by other bytes")
    return body
