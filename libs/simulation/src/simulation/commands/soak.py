"""The command `soak`: real processes under troubles in series that overlap."""

import dataclasses
import json

from cleo.commands.command import Command
from cleo.helpers import option

__all__ = ["SoakCommand"]


class SoakCommand(Command):
    """Exit code 1 if a rule broke on one of the seeds."""

    name = "soak"
    description = "Long runs of real processes under troubles that overlap."
    options = [
        option("first", None, "The first seed", flag=False, default="1"),
        option("last", None, "The last seed", flag=False, default="1"),
        option("seconds", None, "How long callers send", flag=False, default="30"),
        option("size", None, "a name in simulation.soak.plan.SIZES", flag=False, default="usual"),
    ]

    def handle(self):
        from simulation.soak.plan import SoakPlan
        from simulation.soak.run import soak

        red = 0
        for seed in range(int(self.option("first")), int(self.option("last")) + 1):
            plan = SoakPlan(seed, float(self.option("seconds")), self.option("size"))
            report = soak(plan)
            self.line(json.dumps(dataclasses.asdict(report)))
            red += bool(report.broken)
        return int(red > 0)
