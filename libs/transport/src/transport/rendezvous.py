"""Rendezvous hashing: chooses one of several names for each key.

Adding or removing a name changes the choice only for the keys of that name.
"""

import hashlib

__all__ = ["weight"]


def weight(key, name):
    """The weight of a name for a key; the name with the greatest weight is chosen."""
    return hashlib.blake2b(f"{key}|{name}".encode(), digest_size=8).digest()
