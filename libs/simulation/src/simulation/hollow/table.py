"""The table that docs/CAPACITY.md holds, worked out from measured runs."""

from simulation.hollow import fit, plan

__all__ = ["ALLOWED", "TITLES", "lines", "coefficient_lines", "check_lines", "marked"]

TITLES = {
    "counter": "counter",
    "log": "depot as log node",
    "depot": "depot as follower",
    "holder": "holder of a shard",
    "list": "follower of the engine list",
}
ALLOWED = {"counter": {"cpuPct": 4.9, "bytes": 3000.0, "stateMb": 128.0}}
_CONTROL = {"cpuPct": 100.0}
_UNITS = {
    "cpuPct": "% of a core",
    "inBytes": "bytes/s in",
    "outBytes": "bytes/s out",
    "inCount": "messages/s in",
    "outCount": "messages/s out",
    "stateMb": "MB of state",
}


def _number(value):
    if value == 0:
        return "0"
    return f"{value:.0f}" if abs(value) >= 1000 else f"{value:.3g}"


def at_target(runs, role, size=plan.TARGET, loads=None):
    return {m: fit.cost(fit.coefficients(runs, role, m), size, loads) for m in fit.MEASURES}


def lines(runs, size=plan.TARGET):
    """The figures at the target, each beside its allowance and the ratio."""
    found = [
        "| role | what | at the target | allowance | ratio |",
        "| --- | --- | --- | --- | --- |",
    ]
    for role, title in TITLES.items():
        told = at_target(runs, role, size)
        told["bytes"] = told["inBytes"] + told["outBytes"]
        allowed = ALLOWED.get(role, _CONTROL)
        for what, unit in (
            ("cpuPct", "% of a core"),
            ("bytes", "bytes/s, both ways"),
            ("inCount", "messages/s in"),
            ("outCount", "messages/s out"),
            ("stateMb", "MB of state"),
        ):
            limit = allowed.get(what)
            found.append(
                f"| {title} | {unit} | {_number(told[what])} | "
                + (f"{_number(limit)} | {told[what] / limit:.2f} |" if limit else "none told | |")
            )
    return found


def coefficient_lines(runs):
    """Every coefficient, a row for each role and measure."""
    found = [
        "| role | per | " + " | ".join(plan.FEATURES) + " |",
        "| --- " * (len(plan.FEATURES) + 2) + "|",
    ]
    for role, title in TITLES.items():
        for measure in fit.MEASURES:
            parts = fit.coefficients(runs, role, measure)
            found.append(
                f"| {title} | {_UNITS[measure]} | "
                + " | ".join(_number(parts[f]) for f in plan.FEATURES)
                + " |"
            )
    return found


def check_lines(runs):
    """The grown fleets: measured, and what the coefficients say of them."""
    found = [
        "| run | role | % of a core | by coefficients | bytes/s | by coefficients |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for name, size in plan.CHECKS.items():
        if name not in runs or not name.startswith("grown"):
            continue
        for role, title in TITLES.items():
            seen, told = runs[name][role], at_target(runs, role, size, runs[name]["loads"])
            found.append(
                f"| {name} | {title} | {_number(seen['cpuPct'])} | "
                f"{_number(told['cpuPct'])} | "
                f"{_number(seen['inBytes'] + seen['outBytes'])} | "
                f"{_number(told['inBytes'] + told['outBytes'])} |"
            )
    return found


def marked(runs):
    """All tables as they stand in the page, by the mark that they follow."""
    return {
        "target": lines(runs),
        "coefficients": coefficient_lines(runs),
        "checks": check_lines(runs),
    }
