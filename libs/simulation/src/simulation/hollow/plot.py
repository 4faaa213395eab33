"""The curves: what each role spends and sends as the fleet grows."""

from simulation.hollow import plan, table

__all__ = ["draw"]

_PANELS = (
    ("cpuPct", "processor time, % of a core", 4.9),
    ("bytes", "bytes a second, both ways", 3000.0),
    ("stateMb", "state, MB", 128.0),
)


def _value(figures, what):
    return figures["inBytes"] + figures["outBytes"] if what == "bytes" else figures[what]


def _loads(runs, size):
    """The loads a grown run saw; those asked for at the target."""
    return next((runs[n]["loads"] for n, s in plan.CHECKS.items() if s == size and n in runs), None)


def draw(runs, path):
    """Measured grown fleets as points, what the coefficients say as lines, a node's
    allowance dashed; nothing drawn but what `runs` hold."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 3, figsize=(13, 4.2))
    grown = [n for n in plan.CHECKS if n in runs and n.startswith("grown")]
    sizes = [plan.CHECKS[n] for n in grown] + [plan.TARGET]
    for axis, (what, title, allowed) in zip(axes, _PANELS):
        for number, (role, word) in enumerate(table.TITLES.items()):
            color = f"C{number}"
            axis.plot(
                [plan.CHECKS[n].nodes for n in grown],
                [_value(runs[n][role], what) for n in grown],
                "o",
                color=color,
            )
            axis.plot(
                [s.nodes for s in sizes],
                [_value(table.at_target(runs, role, s, _loads(runs, s)), what) for s in sizes],
                "-",
                color=color,
                label=word,
            )
        axis.axhline(allowed, linestyle="--", color="black", linewidth=1)
        axis.set(title=title, xlabel="nodes, all else grown along", yscale="log")
    axes[0].legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None} if str(path).endswith(".svg") else None)
    pyplot.close(figure)
