"""Rendezvous hashing: which of several names a key would rather have."""

import hashlib

__all__ = ["weight"]


def weight(key, name):
    """The name with the greatest weight for a key is the key's."""
    return hashlib.blake2b(f"{key}|{name}".encode(), digest_size=8).digest()
