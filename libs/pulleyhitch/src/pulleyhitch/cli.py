"""The command line: run a role, or send an operator's request to a node."""

import _signal
import sys

__all__ = ["main"]

_ROLES = ("depot", "counter")


def main():
    """Entry point of the `pulleyhitch` program."""
    if sys.argv[1:2] and sys.argv[1] in _ROLES:
        _ignore_signals()
    from cleo.application import Application

    from pulleyhitch import VERSION
    from pulleyhitch.operator_commands import COMMANDS as OPERATOR_COMMANDS
    from pulleyhitch.role_commands import COMMANDS as ROLE_COMMANDS

    application = Application("pulleyhitch", VERSION)
    for command in ROLE_COMMANDS + OPERATOR_COMMANDS:
        application.add(command())
    sys.exit(application.run())


def _ignore_signals():
    """Ignore the signals that would end a role's process until `lifecycle.run` handles them; the
    libraries that are imported next take most of the start."""
    _signal.signal(_signal.SIGHUP, _signal.SIG_IGN)
    _signal.signal(_signal.SIGUSR1, _signal.SIG_IGN)
