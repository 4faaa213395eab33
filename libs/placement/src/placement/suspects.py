"""Detects engines that fail requests although their reports look healthy.

An engine may report that it is healthy and holds an item, and still fail, break off or never
answer requests.  Routers record how their attempts end and report that to the lease holder of the
engine's shard.  Once enough recent attempts have failed, or all of them got no response, the
lease holder logs the engine as suspect: it gets no work, and its items count as missing.  After a
while it gets work again; if it becomes suspect again soon, it is left out for twice as long.  Only
a part of a service's engines may be suspect at a time, so that a fault outside the engines doesn't
take all of them out of service.
"""

from placement import ledger as ledgers
from placement import registry_view
from placement.attempt_outcomes import Outcomes, Suspicion
from placement.state import append_record

__all__ = ["update_suspects", "record_outcomes"]

# An engine becomes suspect with at least this many recent failures and this ratio of failures to
# all attempts.
_MIN_FAILURES = 3.0
_MIN_FAILURE_RATIO = 0.3
# With fewer recent successes, an engine is unresponsive rather than overloaded, and attempts
# without a response count as failures.
_MIN_SUCCESSES = 0.5
# The share of a service's engines that may be suspect at a time.
_MAX_SUSPECT_RATIO = 1 / 3
# Longest time without work after repeated suspicions, as a multiple of the first.
_MAX_BACKOFF_FACTOR = 4


def record_outcomes(history, now_ms, counts, fade_ms):
    """Record a router's counts of attempts, {engine: (good, bad, without a response)}."""
    for engine, (good, bad, unanswered) in counts.items():
        outcomes = history.outcomes.setdefault(engine, Outcomes(at_ms=now_ms))
        outcomes.add(now_ms, fade_ms, good, bad, unanswered)


def update_suspects(placer, now_ms, registry, shards, settings):
    """Log the engines that become suspect, and those that get work again."""
    for name in registry_view.services_of(registry, placer.shard, shards):
        engines = [engine["name"] for engine in registry_view.engines_of(registry, name)]
        _clear_expired(placer, now_ms, engines, settings)
        _mark_suspects(placer, now_ms, engines, settings)
    _forget_removed(placer, registry)


def _clear_expired(placer, now_ms, engines, settings):
    """Clear suspects whose time without work is over; a new lease holder restarts that time."""
    history = placer.outcome_history
    for engine in engines:
        if engine not in placer.ledger.suspects:
            continue
        suspicion = history.suspicions.setdefault(
            engine, Suspicion(now_ms + settings.unreachable_ms, 1)
        )
        if now_ms >= suspicion.until_ms:
            history.outcomes.pop(engine, None)
            append_record(placer, ledgers.cleared_record(engine))


def _mark_suspects(placer, now_ms, engines, settings):
    limit = int(_MAX_SUSPECT_RATIO * len(engines))
    suspects = sum(engine in placer.ledger.suspects for engine in engines)
    for engine in engines:
        if suspects >= limit:
            return
        if engine in placer.ledger.suspects or not _is_failing(
            placer.outcome_history, now_ms, engine, settings
        ):
            continue
        previous = placer.outcome_history.suspicions.get(engine)
        recent = previous is not None and now_ms - previous.until_ms < 4 * settings.unreachable_ms
        factor = min(_MAX_BACKOFF_FACTOR, 2 * previous.backoff_factor) if recent else 1
        placer.outcome_history.suspicions[engine] = Suspicion(
            now_ms + factor * settings.unreachable_ms, factor
        )
        append_record(placer, ledgers.suspect_record(engine))
        suspects += 1


def _is_failing(history, now_ms, engine, settings):
    outcomes = history.outcomes.get(engine)
    if outcomes is None:
        return False
    outcomes.add(now_ms, settings.unreachable_ms)
    bad = outcomes.bad
    if outcomes.good < _MIN_SUCCESSES:
        bad += outcomes.unanswered
    return bad >= _MIN_FAILURES and bad >= _MIN_FAILURE_RATIO * (bad + outcomes.good)


def _forget_removed(placer, registry):
    """Drop what is known of engines that are no longer in the registry."""
    history = placer.outcome_history
    for by_engine in (history.outcomes, history.suspicions):
        for engine in [name for name in by_engine if name not in registry.engines]:
            del by_engine[engine]
    for engine in [name for name in placer.ledger.suspects if name not in registry.engines]:
        append_record(placer, ledgers.cleared_record(engine))
