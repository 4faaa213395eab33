"""How often a node's core is ticked: as seldom as what it has to do allows.

Everything that comes from outside, and everything that names its own time, reaches the
core at once; ticks serve what is only looked at now and then.  A fleet of hundreds of
nodes spends most of its idle time on them.
"""

__all__ = ["pause_ms"]

# Ticks in the time between two asks for news.
_WHILE_WAITED_FOR = 6
_AS_DEPOT = 4
_IDLE = 2


def pause_ms(node):
    """How long to wait between two ticks: short while somebody waits for an answer here;
    on a depot short enough for heartbeats; else half of the time between two asks."""
    return node.times.ping_ms / _ticks_per_ping(node)


def _ticks_per_ping(node):
    if node.closing or _is_waited_for(node):
        return _WHILE_WAITED_FOR
    return _AS_DEPOT if node.depot is not None or node.owners.owners else _IDLE


def _is_waited_for(node):
    operator = node.operator
    waits = operator.pending or operator.reads
    return bool(waits) or any(task.waiting for task in node.router.tasks.values())
