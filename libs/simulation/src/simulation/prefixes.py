"""How often a prompt's opening is still in the cache of the engine it goes to.

Paired simulated runs: the same seeds and faults with the real choice of engine,
with one at random, and with the least busy; every model wished for three times,
engines that restart and leave, and caches that hold eight openings each.
"""

import random
from concurrent.futures import ProcessPoolExecutor

from routing import choice

from simulation import deployments
from simulation.sim import faults, run

__all__ = ["prefixes"]

_WAYS = ("real", "random", "least busy")


def _one(job):
    name, seed, way = job
    real, rng = choice.choose, random.Random(seed)

    def other(r, now_ms, engines, crew, task, rank):
        free = [
            e
            for e in engines
            if r.in_flight.get(e["name"], 0) < choice.limit(r, now_ms, e, crew, rank)
        ]
        if not free or not task.model:
            return real(r, now_ms, engines, crew, task, rank)
        return (
            rng.choice(free)
            if way == "random"
            else min(free, key=lambda e: (r.in_flight.get(e["name"], 0), rng.random()))
        )

    steps = [
        faults.Step(2000.0, "engine-restart", "e0", 500.0),
        faults.Step(8000.0, "engine-leaving", "e1", 9000.0),
        faults.Step(12000.0, "hot-crowd", "", 3000.0),
    ]
    if way != "real":
        choice.choose = other
    sections = deployments.sections
    deployments.sections = lambda d, crowded=False: _many(sections(d, False))
    try:
        found = run.simulate(seed, deployments.BY_NAME[name], steps=steps, span_ms=60000.0)
        return found.facts["hits"], found.facts["misses"], found.facts["busiest"]
    finally:
        choice.choose, deployments.sections = real, sections


def _many(sections):
    for _, section in sections:
        for wish in section["wishes"].values():
            wish["copies"] = 3 if wish["yields"] < 15 else wish["copies"]
    return sections


def prefixes(name, runs, workers=8, say=print):
    jobs = [(name, seed, way) for way in _WAYS for seed in range(2, 2 + 2 * runs, 2)]
    with ProcessPoolExecutor(workers) as pool:
        found = dict(zip(jobs, pool.map(_one, jobs)))
    for way in _WAYS:
        hits, misses, most = zip(*(v for k, v in found.items() if k[2] == way))
        say(
            f"{name}, {runs} seeds, {way}: {100 * sum(hits) / (sum(hits) + sum(misses)):.1f} % "
            f"of {sum(hits) + sum(misses)} openings still cached; busiest engine over the "
            f"mean {max(most)}"
        )
    return found
