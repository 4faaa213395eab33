"""Which hollow runs are made, and what each stands for.

One small fleet, and one thing grown at a time; pairs where two things multiply
each other.  The grown fleets, all of it at once, are kept out of the fit: what
the coefficients say of them is held against what was measured.
"""

from simulation.hollow.settings import Size

__all__ = ["RUNS", "CHECKS", "TARGET", "FEATURES", "features", "at"]

_ASKED = 13.6


def at(nodes=12, engines=100, models=90, asked=_ASKED, **more):
    """A size by requests a second at each counter."""
    return Size(nodes, engines, models, int(2.2 * models), asks_per_s=asked * (nodes - 5), **more)


RUNS = {
    "base": at(),
    "nodes-30": at(30),
    "nodes-100": at(100, asked=3.0),
    "nodes-300": at(300, asked=1.0, window_s=4.0),
    "engines-400": at(engines=400),
    "engines-1200": at(engines=1200),
    "engines-1200-busy": at(engines=1200, asked=40.0),
    "models-400": at(models=400),
    "models-1100": at(models=1100),
    "asks-3": at(asked=3.0),
    "asks-40": at(asked=40.0),
    "changes-1": at(changes_per_s=1.0),
    "changes-4": at(changes_per_s=4.0),
    "loads-1": at(loadsPerS=1.0),
    "nodes-100-changes": at(100, asked=3.0, changes_per_s=2.0),
    "nodes-100-loads": at(100, asked=3.0, loadsPerS=1.0),
}

CHECKS = {
    "grown-30": at(30, 100, 92, changes_per_s=1.0, window_s=8.0),
    "grown-100": at(100, 333, 306, changes_per_s=1.0, loadsPerS=0.12, window_s=6.0),
    "grown-300": at(300, 1000, 917, changes_per_s=1.0, loadsPerS=0.3, window_s=3.0),
    "crowded-100": at(100),
    "crowded-300": at(300, window_s=4.0),
    "restarts-30": at(30, restarts_per_s=0.2, window_s=15.0),
    "restarts-100": at(100, restarts_per_s=0.2, window_s=6.0),
    "service-90": at(changes_per_s=1.0, whole=True),
    "service-1100": at(models=1100, changes_per_s=1.0, whole=True),
}

TARGET = at(360, 1200, 1100, asked=4900 / 348, changes_per_s=1600 / 86400, loadsPerS=1300 / 3600)

FEATURES = ("1", "N", "E", "M", "r", "C", "L", "r E", "N C", "N L")


def features(size, loads=None):
    """What a role's cost is a sum of: nodes, engines, models, requests a second at
    each counter, changes and loads a second; `loads`: those seen in a run."""
    n, e, m, c = size.nodes, size.engines, size.models, size.changes_per_s
    loadsPerS = size.loadsPerS if loads is None else loads / size.window_s
    r = size.asks_per_s / (size.nodes - size.depots)
    return (1.0, n, e, m, r, c, loadsPerS, r * e, n * c, n * loadsPerS)
