"""The proof judged: which checkers see which mutants, at which sizes.

The harness starts worker processes; each breaks its own copy of the code for
one run and mends it again.
"""

from concurrent.futures import ProcessPoolExecutor

from simulation import deployments, mutants

__all__ = ["judge"]


def _one(job):
    """The checkers that went red, with the code broken or as it is."""
    size, number, seed, broken = job
    mutant = mutants.MUTANTS[number]
    mend = mutants.applied(mutant) if broken else None
    try:
        return sorted(mutants.simulate(mutant, deployments.BY_NAME[size], seed).violations)
    except Exception as failed:
        return ["crash: " + type(failed).__name__]
    finally:
        if mend:
            mend()


def judge(sizes, workers, say=print):
    """A line a mutant and size; the number of defects: a mutant that its checker
    sees at neither real size, or code as it is that some checker calls red."""
    jobs = [
        (size, number, seed, broken)
        for size in sizes
        for number, mutant in enumerate(mutants.MUTANTS)
        for seed in mutant.seeds
        for broken in (False, True)
    ]
    with ProcessPoolExecutor(workers) as pool:
        found = dict(zip(jobs, pool.map(_one, jobs)))
    defects = 0
    for number, mutant in enumerate(mutants.MUTANTS):
        seen = []
        for size in sizes:
            clean = [x for s in mutant.seeds for x in found[size, number, s, False]]
            red = sorted({x for s in mutant.seeds for x in found[size, number, s, True]})
            defects += bool(clean)
            seen.append(mutant.checker in red)
            say(
                f"{size}: {mutant.name}: {mutant.checker} "
                f"{'sees it' if seen[-1] else 'MISSES it'}; red: {', '.join(red) or '-'}"
                + (f"; RED AS IT IS: {', '.join(clean)}" if clean else "")
            )
        defects += not any(seen)
    say(
        f"{len(mutants.MUTANTS)} mutants, {len(sizes)} sizes, {len(jobs)} runs, "
        f"{defects} defects of the proof"
    )
    return defects
