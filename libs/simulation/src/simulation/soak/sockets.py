"""Connections of a process, from the system's own tables."""

import os
import re
import socket
from pathlib import Path

__all__ = ["peer_connections"]

_SOCKET = re.compile(r"socket:\[(\d+)\]")
_ESTABLISHED = "01"
# Columns of /proc/<pid>/net/tcp.
_LOCAL, _REMOTE, _STATE, _INODE = 1, 2, 3, 9


def peer_connections(pid, addresses):
    """How many open connections of a process begin or end at one of `addresses`, each a pair of
    host and port."""
    if not addresses:
        return 0
    inodes = _socket_inodes(pid)
    rows = Path(f"/proc/{pid}/net/tcp").read_text(encoding="utf8").splitlines()[1:]
    return sum(_joins(row.split(), addresses, inodes) for row in rows)


def _joins(row, addresses, inodes):
    ends = {_address(row[_LOCAL]), _address(row[_REMOTE])}
    return row[_STATE] == _ESTABLISHED and row[_INODE] in inodes and bool(ends & addresses)


def _address(text):
    """(host, port) of a hexadecimal address whose four bytes are in the machine's order."""
    host, _, port = text.partition(":")
    return socket.inet_ntoa(bytes.fromhex(host)[::-1]), int(port, 16)


def _socket_inodes(pid):
    found = set()
    for name in os.listdir(f"/proc/{pid}/fd"):
        try:
            target = os.readlink(f"/proc/{pid}/fd/{name}")
        except FileNotFoundError:
            continue
        if match := _SOCKET.fullmatch(target):
            found.add(match[1])
    return found
