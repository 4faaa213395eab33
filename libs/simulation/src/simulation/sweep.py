"""Many seeds of the simulator on all cores, and one seed again exactly.

The harness starts worker processes; each prints nothing, the parent prints a
line a run and, for a red one, the words that replay it.
"""

import json
import time
from concurrent.futures import ProcessPoolExecutor, as_completed

from simulation import deployments
from simulation.sim import run

__all__ = ["sweep", "replay"]


def _one(seed, name, count, closing):
    verdict = run.simulate(seed, deployments.BY_NAME[name], count=count, closing=closing)
    return seed, verdict


def _closing(seed):
    """Of five runs, four end with a closing fault, one of each kind."""
    return ("", *run.CLOSINGS)[seed % 5]


def sweep(name, first, last, count, workers, say=print):
    """Run seeds first..last; returns the seeds that were red."""
    start_s, red, backs, asked = time.monotonic(), [], [], 0
    with ProcessPoolExecutor(workers) as pool:
        jobs = [
            pool.submit(_one, seed, name, count, _closing(seed)) for seed in range(first, last + 1)
        ]
        for job in as_completed(jobs):
            seed, verdict = job.result()
            asked += verdict.facts["asked"]
            if verdict.back_ms is not None:
                backs.append(verdict.back_ms)
            if verdict.violations:
                red.append(seed)
                say(f"seed {seed}: {json.dumps(verdict.violations)[:2000]}")
                say(f"  again: pulleyhitch-simulation replay {name} {seed} --faults {count}")
    backs.sort()
    say(
        f"{name}: {last - first + 1} runs of {count} faults, {len(red)} red, "
        f"{asked} tasks, service back after {_at(backs, 0.5)} ms (median), "
        f"{_at(backs, 1.0)} ms (worst), {time.monotonic() - start_s:.0f} s of real time"
    )
    return sorted(red)


def _at(ordered, part):
    return round(ordered[min(len(ordered) - 1, int(part * len(ordered)))]) if ordered else "-"


def replay(name, seed, count, say=print):
    """One seed again, with its script and all it found."""
    _, verdict = _one(seed, name, count, _closing(seed))
    for step in verdict.facts.pop("script"):
        say("  " + json.dumps(step))
    say(json.dumps({"backMs": verdict.back_ms, **verdict.facts}))
    for checker, found in verdict.violations.items():
        for each in found:
            say(f"RED {checker}: {json.dumps(each)}")
    return bool(verdict.violations)
