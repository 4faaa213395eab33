"""The simulation's command line: `pulleyhitch-simulation`."""

import sys

from cleo.application import Application

from simulation.commands.checks import (
    ModelCommand,
    MutantsCommand,
    ReplayCommand,
    SweepCommand,
)
from simulation.commands.judge import JudgeCommand
from simulation.commands.measurements import HollowCommand, MeasureCommand
from simulation.commands.memory import MemoryCommand
from simulation.commands.orders import OrdersCommand
from simulation.commands.processes import EngineCommand, FleetCommand, TrialCommand
from simulation.commands.soak import SoakCommand

__all__ = ["main"]


def main():
    application = Application("pulleyhitch-simulation")
    for command in (
        EngineCommand,
        FleetCommand,
        SweepCommand,
        ReplayCommand,
        MutantsCommand,
        ModelCommand,
        OrdersCommand,
        TrialCommand,
        JudgeCommand,
        SoakCommand,
        MemoryCommand,
        MeasureCommand,
        HollowCommand,
    ):
        application.add(command())
    sys.exit(application.run())


if __name__ == "__main__":
    main()
