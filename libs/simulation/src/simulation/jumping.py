"""pulleyhitch under a wall clock that jumps an hour either way, again and again.

Only the wall clock: durations are measured on the monotonic one, and this shows
that nothing else looks at the time of day.
"""

import itertools
import time

from pulleyhitch.cli import main

__all__ = ["jump"]

_OFFSETS_S = (0.0, 3600.0, -3600.0, 7200.0, -90000.0)


def jump():
    """Each look at the wall clock sees another hour."""
    real, turns = time.time, itertools.cycle(_OFFSETS_S)
    time.time = lambda: real() + next(turns)
    time.time_ns = lambda: int(time.time() * 1e9)


if __name__ == "__main__":
    jump()
    main()
