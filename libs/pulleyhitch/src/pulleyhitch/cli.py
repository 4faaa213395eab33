"""The command line: run a role, or send an operator's request to a node."""

import sys

from cleo.application import Application

from pulleyhitch import VERSION
from pulleyhitch.operator_commands import COMMANDS as OPERATOR_COMMANDS
from pulleyhitch.role_commands import COMMANDS as ROLE_COMMANDS

__all__ = ["main"]


def main():
    """Entry point of the `pulleyhitch` program."""
    application = Application("pulleyhitch", VERSION)
    for command in ROLE_COMMANDS + OPERATOR_COMMANDS:
        application.add(command())
    sys.exit(application.run())
