"""The roles: `pulleyhitch depot` and `pulleyhitch counter`.

Exit codes: 0 an orderly stop, 2 wrong config or flags, 3 the data folder or
an address can't be used, 4 stopped by a failure while running.
"""

from cleo.commands.command import Command
from cleo.helpers import option
from transport import failures

from pulleyhitch import config as configs
from pulleyhitch import lifecycle

__all__ = ["COMMANDS"]

_TEXT = ("name", "zone", "address", "http", "folder")


def _flags(command, role):
    flags = {key: command.option(key) for key in _TEXT}
    seeds = command.option("seed")
    flags["seeds"] = list(seeds) if seeds else None
    zones = command.option("zones")
    flags["zones"] = zones.split(",") if zones else None
    for key in ("shards", "depots"):
        value = command.option(key)
        flags[key] = int(value) if value and value.isdigit() else value
    flags["role"] = role
    return flags


class _Role(Command):
    options = [
        option("config", "c", "A TOML file of config", flag=False),
        option(
            "seed",
            "s",
            "Address of another process; give it three times",
            flag=False,
            multiple=True,
        ),
        option("zones", None, "All zones, with commas between", flag=False),
        option("shards", None, "How many shards there are", flag=False),
        option("depots", None, "How many depots found the log", flag=False),
    ] + [option(key, None, f"This process's {key}", flag=False) for key in _TEXT]

    def handle(self):
        config = configs.read(self.option("config"), _flags(self, self.name))
        if isinstance(config, failures.Failure):
            lifecycle.report_failure(config)
            return 2
        return lifecycle.run(config)


class Depot(_Role):
    name = "depot"
    description = "Keep a copy of the log on this machine's disk."


class Counter(_Role):
    name = "counter"
    description = "Route callers and, holding a grant, place models."


COMMANDS = (Depot, Counter)
