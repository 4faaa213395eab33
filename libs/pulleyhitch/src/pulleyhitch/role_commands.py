"""Commands that run a role: `pulleyhitch depot` replicates the log, `pulleyhitch counter` routes.

Exit codes: 0 orderly stop, 2 invalid config or flags, 3 the data folder or an address can't be
used, 4 stopped by a failure.
"""

import time

from cleo.commands.command import Command
from cleo.helpers import option
from transport import failures

from pulleyhitch import config as configs
from pulleyhitch import lifecycle, lifecycle_log, startup

__all__ = ["COMMANDS"]

_TEXT_OPTIONS = ("name", "zone", "address", "http", "folder")


def _flags(command, role):
    flags = {key: command.option(key) for key in _TEXT_OPTIONS}
    seeds = command.option("seed")
    flags["seeds"] = list(seeds) if seeds else None
    zones = command.option("zones")
    flags["zones"] = zones.split(",") if zones else None
    for key in ("shards", "depots"):
        value = command.option(key)
        flags[key] = int(value) if value and value.isdigit() else value
    flags["role"] = role
    return flags


class _RoleCommand(Command):
    options = [
        option("config", "c", "TOML config file", flag=False),
        option(
            "seed",
            "s",
            "Address of another process; repeat the option to give three",
            flag=False,
            multiple=True,
        ),
        option("zones", None, "All zones, separated by commas", flag=False),
        option("shards", None, "Number of shards", flag=False),
        option("depots", None, "Number of depots that bootstrap the log", flag=False),
    ] + [option(key, None, f"This process's {key}", flag=False) for key in _TEXT_OPTIONS]

    def handle(self):
        start_s = time.monotonic()
        flags = _flags(self, self.name)
        config = startup.read_when_whole(lambda: configs.read(self.option("config"), flags))
        if isinstance(config, failures.Failure):
            lifecycle_log.LifecycleLog(start_s).failed(lifecycle_log.EXIT_SETTINGS, config)
            return lifecycle_log.EXIT_SETTINGS
        return lifecycle.run(config, start_s=start_s)


class Depot(_RoleCommand):
    name = "depot"
    description = "Run a log replica, with its data on this machine's disk."


class Counter(_RoleCommand):
    name = "counter"
    description = "Route callers' requests and, while holding a lease of a shard, place models."


COMMANDS = (Depot, Counter)
