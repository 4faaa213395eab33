"""A single counter's process whose core is replaced by a test's own function."""

from pulleyhitch import config, node
from pulleyhitch.process import Process
from simulation.fleet import free_ports

__all__ = ["lone_counter"]


def lone_counter(test, handle, dialect=None, **settings):
    """A process, not started yet, that is stopped after the test.  `handle(event)` replaces
    the core and returns effects; `settings` are added to the process's own."""
    ports = free_ports(2)
    all_settings = {
        "name": "c0",
        "role": "counter",
        "zone": "x",
        "address": f"127.0.0.1:{ports[0]}",
        "http": f"127.0.0.1:{ports[1]}",
        "seeds": [f"127.0.0.1:{ports[0]}"],
        **settings,
    }
    process = Process(config.check(all_settings), dialect)
    test.addCleanup(process._connections.close)
    test.addCleanup(process._stopped.set)
    test.patch(node, "handle", lambda _, now_ms, event: handle(event))
    return process
