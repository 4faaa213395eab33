"""`pulleyhitch-simulation hollow`: runs made, kept in a file, tabled and drawn."""

import json
import pathlib

from simulation.hollow import plan, plot, run, table

__all__ = ["show", "kept"]

_MEASURES = ("nodes", "cpuPct", "inCount", "outCount", "inBytes", "outBytes", "stateMb")


def kept(figures):
    """A run as the file holds it."""
    roles = {}
    for role, told in figures.roles.items():
        roles[role] = {m: round(told[m], 4) for m in _MEASURES}
        roles[role]["kinds"] = {
            kind: {part: [round(v, 3) for v in row] for part, row in sorted(parts.items())}
            for kind, parts in sorted(told["kinds"].items())
        }
    return {
        **roles,
        "delayMs": [round(d, 1) for d in figures.delayMs],
        "served": figures.served,
        "refused": figures.refused,
        "loads": figures.loads,
        "rssMb": round(figures.rssMb),
        "pace": round(figures.pace, 3),
        "tookS": round(figures.took_s, 1),
    }


def show(names, path, plot_path, say=print):
    """Make the runs named, add them to the file at `path`, print the tables."""
    sizes = {**plan.RUNS, **plan.CHECKS}
    file = pathlib.Path(path)
    told = json.loads(file.read_text()) if file.exists() else {}
    for name in names:
        told[name] = kept(run.measure(sizes[name]))
        say(
            f"{name}: {told[name]['served']} served, {told[name]['loads']} loads, "
            f"{told[name]['tookS']} s, {told[name]['rssMb']} MB"
        )
        file.write_text(
            json.dumps(told, separators=(",", ":"), sort_keys=True).replace('},"', '},\n"') + "\n"
        )
    if all(name in told for name in plan.RUNS):
        for title, found in table.marked(told).items():
            say(f"\n{title}\n" + "\n".join(found))
        if plot_path:
            plot.draw(told, plot_path)
    else:
        say("not every run of the fit is there yet: no table")
    return 0
