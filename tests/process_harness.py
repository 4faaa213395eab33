"""A counter's process without a fleet, whose core a test puts its own in place of."""

from pulleyhitch import config, node
from pulleyhitch.process import Process
from simulation.fleet import free_ports

__all__ = ["lone_counter"]


def lone_counter(test, handle):
    """A process, not started, that ends with the test; `handle(event)` returns effects."""
    ports = free_ports(2)
    facts = {
        "name": "c0",
        "role": "counter",
        "zone": "x",
        "address": f"127.0.0.1:{ports[0]}",
        "http": f"127.0.0.1:{ports[1]}",
        "seeds": [f"127.0.0.1:{ports[0]}"],
    }
    made = Process(config.check(facts))
    test.addCleanup(made._connections.close)
    test.addCleanup(made._stopped.set)
    test.patch(node, "handle", lambda _, now_ms, event: handle(event))
    return made
