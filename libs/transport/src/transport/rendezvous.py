"""Rendezvous hashing: choosing one of several names for a key, stable as names come and go."""

import hashlib

__all__ = ["weight"]


def weight(key, name):
    """The weight of a name for a key; the name with the greatest weight is chosen."""
    return hashlib.blake2b(f"{key}|{name}".encode(), digest_size=8).digest()
