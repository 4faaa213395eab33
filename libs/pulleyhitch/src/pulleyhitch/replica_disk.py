"""Opens the data folder of a depot, and makes the replica of the log from what it holds."""

import random
import secrets

from replication import disk as disks
from replication import group as groups
from replication.full_disk import is_full
from transport import failures
from transport.effects import Save

from pulleyhitch import config as configs
from pulleyhitch.startup import CannotStart

__all__ = ["make_replica", "open_disk"]

_SEGMENT_BYTES = 8 << 20


def open_disk(config, with_space):
    """The Disk of a depot; `with_space` as for Disk.  Raises CannotStart."""
    try:
        return disks.Disk(config.folder, _SEGMENT_BYTES, with_space)
    except disks.DiskError as error:
        passing = isinstance(error.failure, failures.FolderInUse)
        raise CannotStart(error.failure, passing) from error
    except OSError as error:
        failure = failures.FolderUnwritable(config.folder, str(error.strerror))
        raise CannotStart(failure, is_full(error)) from error


def make_replica(config, disk):
    """The replica of the log, as the disk has it.  Raises CannotStart."""
    replica = groups.Replica(
        config.name,
        _identity(disk).decode(),
        config.address,
        configs.times(config),
        random.Random(secrets.randbits(64)),
    )
    groups.open_replica(replica, disk.loaded.files, disk.loaded.entries)
    return replica


def _identity(disk):
    """The identity that the folder holds; an empty folder gets a new one."""
    identity = disk.loaded.files.get("identity")
    if identity is not None:
        return identity
    identity = secrets.token_hex(8).encode()
    try:
        disk.write(Save("identity", identity))
    except OSError as error:
        failure = failures.DiskUntrusted("identity", str(error.strerror))
        raise CannotStart(failure, is_full(error)) from error
    return identity
