"""Commands that measure: real processes, and many cores in one process."""

import shutil

from cleo.commands.command import Command
from cleo.helpers import argument, option

from simulation import deployments

__all__ = ["HollowCommand", "MeasureCommand"]


class MeasureCommand(Command):
    name = "measure"
    description = "Measure one thing: real processes, but for prefixes."
    arguments = [
        argument(
            "what", "batches, spread, leader-loss, window, comeback, crowd, prefixes or restart"
        )
    ]
    options = [
        option("runs", None, "How many", flag=False, default="5"),
        option("seconds", None, "Length of each (batches)", flag=False, default="5"),
        option(
            "deployment", None, "Which fleet (spread, leader-loss)", flag=False, default="small"
        ),
        option("folder", None, "Where data and logs go", flag=False, default="run/measure"),
    ]

    def handle(self):
        from simulation import crowding, measure
        from simulation.fleet import Fleet

        runs = int(self.option("runs"))
        if self.argument("what") == "prefixes":
            from simulation.prefixes import prefixes

            prefixes(self.option("deployment"), runs)
            return 0
        if self.argument("what") == "restart":
            from simulation import restart_cost

            shutil.rmtree(self.option("folder"), ignore_errors=True)
            restart_cost.measure(4000, 100 * runs, self.option("folder"))
            return 0
        if self.argument("what") == "batches":
            measure.batches(runs, float(self.option("seconds")))
            return 0
        rule = {
            "spread": measure.spread,
            "leader-loss": measure.leader_loss,
            "window": measure.window,
            "comeback": measure.comeback,
            "crowd": crowding.crowd,
        }.get(self.argument("what"))
        if rule is None:
            self.line_error("no such measurement: see --help")
            return 2
        shutil.rmtree(self.option("folder"), ignore_errors=True)
        fleet = Fleet(deployments.BY_NAME[self.option("deployment")], self.option("folder"))
        try:
            fleet.start_all()
            fleet.until(lambda: fleet.call("c0", "GET", "/operator/fleet")[0] == 200)
            fleet.furnish()
            rule(fleet, runs)
        finally:
            fleet.stop_all()
        return 0


class HollowCommand(Command):
    name = "hollow"
    description = "Real cores, many in one process, in virtual time: what each role costs."
    arguments = [
        argument(
            "runs", "Which runs; none: only the tables of those kept", optional=True, multiple=True
        )
    ]
    options = [
        option("all", None, "Every run there is (half an hour)", flag=True),
        option(
            "kept", None, "The file that keeps the runs", flag=False, default="docs/capacity.json"
        ),
        option("plot", None, "Where to draw the curves", flag=False),
    ]

    def handle(self):
        from simulation.hollow import plan, show

        known = [*plan.RUNS, *plan.CHECKS]
        names = known if self.option("all") else self.argument("runs")
        if set(names) - set(known):
            self.line_error("no such run: " + ", ".join(known))
            return 2
        return show.show(names, self.option("kept"), self.option("plot"), self.line)
