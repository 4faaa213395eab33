"""Which searches are made, and the deliberately broken variants that they must show."""

import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace

from placement import engine_calls, engine_reports, engine_view, placer

from simulation.engine_orders.settings import Settings
from simulation.engine_orders.steps import Step, choices, take
from simulation.engine_orders.world import begun
from simulation.model.hooks import patched
from simulation.model.search import Moves, search

__all__ = ["MUTANTS", "Mutant", "SEARCHES", "Searched", "report", "run_search", "shown"]

MOVES = Moves(choices, take)
_PLAIN = Settings()
_ADAPTERS = Settings(models=(("a", 10, 2), ("b", 10, 1)))
_GROWS = Settings(resized_mb=(("b", 20),))
_SHRINKS = Settings(resized_mb=(("a", 5), ("b", 5)))
_UNCOUNTED = Settings(counts=False)
# Deeper than any bounded search goes before its limits are spent.
_DEPTH = 40
# The states that a mutant's search may take.
_MUTANT_STATES = 60_000


@dataclass(frozen=True)
class Searched:
    """A search: what the engine serves, and how often each kind of step may happen."""

    name: str
    settings: Settings
    limits: dict


SEARCHES = (
    Searched("unsent", _PLAIN, {"report": 3, "load": 2, "unload": 1, "unsent": 1}),
    Searched("strangers", _PLAIN, {"report": 2, "load": 2, "unload": 2, "stranger": 1}),
    Searched("late-reports", _PLAIN, {"report": 1, "ask": 2, "load": 2, "unload": 1, "again": 1}),
    Searched("takeover", _PLAIN, {"report": 2, "load": 2, "unload": 1, "takeover": 1, "unsent": 1}),
    Searched("takeovers", _PLAIN, {"report": 3, "load": 2, "takeover": 2}),
    Searched("takeover-late-report", _PLAIN, {"ask": 2, "load": 2, "unload": 1, "takeover": 1}),
    Searched("restart", _PLAIN, {"report": 2, "load": 2, "unload": 1, "restart": 1}),
    Searched(
        "network",
        _PLAIN,
        {"report": 2, "load": 2, "unload": 1, "duplicate": 1, "not-begun": 1, "lose": 1},
    ),
    Searched("adapters", _ADAPTERS, {"report": 2, "load": 3, "unload": 1, "takeover": 1}),
    Searched("grows", _GROWS, {"report": 2, "load": 2, "unload": 1, "resize": 1}),
    Searched("shrinks", _SHRINKS, {"report": 2, "load": 2, "unload": 1, "resize": 1}),
    Searched("uncounted", _UNCOUNTED, {"report": 1, "ask": 2, "load": 2, "unload": 1, "again": 1}),
)


@dataclass(frozen=True)
class Mutant:
    """What is broken, which search must show it, and the change of attributes."""

    name: str
    search: str
    changes: tuple


def _any_success_unloads(called, verb, first):
    state = _REAL_ANSWERED(called, verb, first)
    return "unloaded" if called.code == 200 and verb == "unload" else state


def _never_busy(body, asked_ms):
    return replace(_REAL_READ(body, asked_ms), busy=False)


def _one_poll_id(placer_, now_ms, engine):
    poll = engine_view.Poll(f"report:{engine}", now_ms)
    engine_view.poll_sent(engine_view.view_of(placer_, engine), poll)
    return poll


def _order_despite_doubt(view):
    return view.report is not None


_REAL_ANSWERED = engine_calls._proven_state
_REAL_READ = engine_reports._parse

MUTANTS = (
    Mutant(
        "a count is learned beside what an unsent order hides",
        "unsent",
        ((engine_reports, "_hides_open_order", lambda *args: False),),
    ),
    Mutant(
        "any success is taken for the unload's own",
        "strangers",
        ((engine_calls, "_proven_state", _any_success_unloads),),
    ),
    Mutant(
        "a busy engine's report is believed",
        "unsent",
        ((engine_reports, "_parse", _never_busy),),
    ),
    Mutant(
        "one report without an item takes it away",
        "uncounted",
        ((engine_reports, "_confirmed_missing", lambda *args: True),),
    ),
    Mutant("calls for reports share an id", "uncounted", ((placer, "new_poll", _one_poll_id),)),
    Mutant(
        "orders name no count",
        "unsent",
        ((engine_view, "expected_count", lambda view: None),),
    ),
    Mutant(
        "an engine whose count is in doubt is ordered",
        "strangers",
        ((engine_view, "count_known", _order_despite_doubt),),
    ),
    Mutant(
        "what is on its way to a new life is forgotten",
        "restart",
        ((engine_reports, "_orders_in_flight", lambda *args: set()),),
    ),
    Mutant(
        "the room is worked out with the sizes of the order's time",
        "grows",
        ((placer, "_fits_current_sizes", lambda *args: True),),
    ),
    Mutant(
        "what was found shrinks with the configuration",
        "shrinks",
        ((engine_reports, "_lacks_size", lambda entry: entry is not None and not entry["order"]),),
    ),
)


def _start(settings):
    """The holder has read a first report."""
    state = begun(settings)
    take(state, Step("report"))
    state.spent.clear()
    return state


def run_search(searched, states, depth=_DEPTH):
    """Make a search; its `Search`."""
    return search(_start(searched.settings), searched.limits, depth, states, moves=MOVES)


def shown(mutant, states=_MUTANT_STATES):
    """What a mutant's search finds: a `Found`, or None."""
    (searched,) = [s for s in SEARCHES if s.name == mutant.search]
    with patched(mutant.changes):
        found = run_search(searched, states).found
    return found[0] if found else None


def _shown_by_number(number):
    """As `shown`; mutants hold modules, which no other process can be sent."""
    return shown(MUTANTS[number])


def report(states, workers, tell):
    """Make every search to so many states and tell each; how many are not as they should be."""
    began, wrong = time.monotonic(), 0
    with ProcessPoolExecutor(workers) as pool:
        made = pool.map(run_search, SEARCHES, [states] * len(SEARCHES))
        for searched, result in zip(SEARCHES, made):
            whole = ", whole" if result.whole else ""
            tell(
                f"{searched.name}: {result.states} states, {result.steps} steps, "
                f"depth {result.depth}{whole}, {result.seconds:.1f} s"
            )
            for found in result.found:
                wrong += 1
                tell(f"  BROKEN {found.invariant}: {found.detail}")
                for step in found.trace:
                    tell(f"    {step}")
        for mutant, found in zip(MUTANTS, pool.map(_shown_by_number, range(len(MUTANTS)))):
            wrong += found is None
            seen = "NOT SEEN" if found is None else f"{found.invariant} in {len(found.trace)} steps"
            tell(f"mutant, {mutant.name}: {seen}")
    tell(f"{wrong} wrong, {time.monotonic() - began:.0f} s with {workers} processes")
    return wrong
