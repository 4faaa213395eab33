"""The command `memory`: the largest input against real processes, and what memory they take."""

import dataclasses
import json

from cleo.commands.command import Command
from cleo.helpers import option

__all__ = ["MemoryCommand"]


class MemoryCommand(Command):
    """Exit code 1 if a process went over its limit or ended."""

    name = "memory"
    description = "The peak memory of each role under the largest input that is allowed."
    options = [
        option(
            "load", None, "a name in simulation.memory.run.LOADS, or all", flag=False, default="all"
        ),
        option("first", None, "The first seed", flag=False, default="1"),
        option("last", None, "The last seed", flag=False, default="1"),
    ]

    def handle(self):
        from simulation.memory.run import LOADS, measure

        names = list(LOADS) if self.option("load") == "all" else [self.option("load")]
        red = 0
        for seed in range(int(self.option("first")), int(self.option("last")) + 1):
            for name in names:
                report = measure(name, seed)
                self.line(json.dumps(dataclasses.asdict(report)))
                red += bool(report.broken)
        return int(red > 0)
