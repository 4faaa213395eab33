"""How this router's attempts at each engine ended lately, and what the holder isn't told yet.

Only engines with bad ends are told of, each with the good ends of the last while, so
that an engine that fails once in a hundred requests isn't taken for one that fails all.
"""

from placement.watching import Outcomes

__all__ = ["record", "take_unreported"]

# Ends by proof; those that say nothing of the engine are missing.
_GOOD = ("done",)
_BAD = ("failed", "unknown", "cut", "no-pipe")
_LATE = ("timed-out", "cut-late", "unanswered")
_FADE_MS = 4000.0


def record(router, now_ms, engine, proof):
    """An attempt at an engine ended."""
    good, bad, late = proof in _GOOD, proof in _BAD, proof in _LATE
    if good or bad or late:
        outcomes = router.outcomes.setdefault(engine, Outcomes(at_ms=now_ms))
        outcomes.add(now_ms, _FADE_MS, good=good)
    if bad or late:
        counts = router.unreported_failures.get(engine, (0, 0))
        router.unreported_failures[engine] = counts[0] + bad, counts[1] + late


def take_unreported(router, now_ms, engines):
    """{engine: (good, bad, late)} of what hasn't been told; only of `engines`, the others
    are forgotten."""
    report = {}
    for engine, (bad, late) in router.unreported_failures.items():
        if engine in engines:
            outcomes = router.outcomes[engine]
            outcomes.add(now_ms, _FADE_MS)
            report[engine] = (round(outcomes.good, 1), bad, late)
    router.unreported_failures = {}
    router.outcomes = {name: kept for name, kept in router.outcomes.items() if name in engines}
    return report
