"""The command `orders`: what a holder believes of an engine, over every order of events."""

from cleo.commands.command import Command
from cleo.helpers import option

__all__ = ["OrdersCommand"]


class OrdersCommand(Command):
    """Exit code 1 if a search breaks a promise, or if a mutant isn't seen."""

    name = "orders"
    description = "Check what is charged on an engine over every order of events."
    options = [
        option("states", None, "States of each search", flag=False, default="30000"),
        option("workers", None, "Processes", flag=False, default="4"),
    ]

    def handle(self):
        from simulation.engine_orders.report import report

        states, workers = int(self.option("states")), int(self.option("workers"))
        return int(report(states, workers, self.line) > 0)
