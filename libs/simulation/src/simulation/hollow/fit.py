"""From measured runs to coefficients, and from those to any other size.

A role's cost is a sum of its features' parts; the parts are found by least
squares of relative errors and never below nothing, since more to do costs no less.
"""

import numpy

from simulation.hollow import plan

__all__ = ["MEASURES", "coefficients", "cost"]

MEASURES = ("cpuPct", "inBytes", "outBytes", "inCount", "outCount", "stateMb")


def coefficients(runs, role, measure, sizes=plan.RUNS):
    """{feature: part} of one role's measure; `runs`: name -> {role: {measure: value}}."""
    names = [n for n in sizes if n in runs and role in runs[n]]
    rows = numpy.array([plan.features(sizes[n], runs[n].get("loads")) for n in names])
    values = numpy.array([runs[n][role][measure] for n in names])
    weights = 1 / numpy.maximum(values, 1e-9)
    parts = _not_below(rows * weights[:, None], values * weights)
    return {f: float(p) for f, p in zip(plan.FEATURES, parts)}


def _not_below(rows, values):
    """Least squares with no part below nothing: the active set of Lawson and Hanson."""
    count = rows.shape[1]
    scale = numpy.maximum(numpy.abs(rows).max(axis=0), 1e-12)
    rows = rows / scale
    parts, free = numpy.zeros(count), numpy.zeros(count, bool)
    for _ in range(10 * count):
        slope = rows.T @ (values - rows @ parts)
        slope[free] = -numpy.inf
        best = int(numpy.argmax(slope))
        if slope[best] < 1e-9:
            break
        free[best] = True
        while free.any():
            tried = numpy.zeros(count)
            tried[free] = numpy.linalg.lstsq(rows[:, free], values, rcond=None)[0]
            if tried[free].min() > 0:
                parts = tried
                break
            under = free & (tried <= 0)
            step = numpy.min(parts[under] / numpy.maximum(parts[under] - tried[under], 1e-15))
            parts = parts + step * (tried - parts)
            free &= parts > 1e-12
            parts[~free] = 0
    return parts / scale


def cost(parts, size, loads=None):
    """What the coefficients say of a size."""
    return sum(parts[f] * x for f, x in zip(plan.FEATURES, plan.features(size, loads)))
