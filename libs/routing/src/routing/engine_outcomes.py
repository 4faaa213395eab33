"""Recent outcomes of this router's attempts by engine, and those not yet reported.

The placers use them to detect suspect engines.  Only engines with failures are reported, each with
its recent successes, so that an engine that fails one request in a hundred can be told from one
that fails all.
"""

from placement.attempt_outcomes import Outcomes

__all__ = ["record", "take_unreported"]

# Proofs of the engine's success, failure or lateness.  Other proofs reveal nothing about it.
_SUCCESS_PROOFS = ("done",)
_FAILURE_PROOFS = ("failed", "unknown", "cut", "no-pipe")
_LATE_PROOFS = ("timed-out", "cut-late", "unanswered")
_DECAY_MS = 4000.0


def record(router, now_ms, engine, proof):
    """Record the end of an attempt at an engine."""
    good, bad, late = proof in _SUCCESS_PROOFS, proof in _FAILURE_PROOFS, proof in _LATE_PROOFS
    if good or bad or late:
        outcomes = router.outcomes.setdefault(engine, Outcomes(at_ms=now_ms))
        outcomes.add(now_ms, _DECAY_MS, good=good)
    if bad or late:
        counts = router.unreported_failures.get(engine, (0, 0))
        router.unreported_failures[engine] = counts[0] + bad, counts[1] + late


def take_unreported(router, now_ms, engines):
    """{engine: (successes, failures, late)} of the failures not yet reported.  Only `engines` are
    reported; the others are dropped."""
    report = {}
    for engine, (bad, late) in router.unreported_failures.items():
        if engine in engines:
            outcomes = router.outcomes[engine]
            outcomes.add(now_ms, _DECAY_MS)
            report[engine] = (round(outcomes.good, 1), bad, late)
    router.unreported_failures = {}
    router.outcomes = {name: kept for name, kept in router.outcomes.items() if name in engines}
    return report
