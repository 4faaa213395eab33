"""Callers of a simulated run: the brief's mix, crowds, and rare models.

Prompts share a few common openings, models and adapters are asked for by both
partners' callers, deadlines follow the class, and some callers leave before
their answer is there.
"""

from simulation.sim import floor
from simulation.sim import world as worlds

__all__ = ["Traffic"]

_OPENINGS = (
    "missed the junction before the bridge and the next one is closed, ",
    "two vans at the depot gate, the second has no window left today, ",
    "the client is at the counter and asks for the state of the plan: ",
)
_LEAVES = 0.03


class Traffic:
    """What callers do; mixed into `run.Run`."""

    def traffic(self):
        def one():
            if self.quiet:
                return
            self.ask_common()
            worlds.after(self.world, 60 * self.world.random.random() + 20, one)

        worlds.after(self.world, 8000, one)

    def told(self, model, cls, stream, adapter="", deadlineMs=12000):
        rng = self.world.random
        prompt = f"{rng.choice(_OPENINGS)}{rng.randrange(1000)}"
        return {
            "id": f"task{self.history.asked}",
            "service": self.deployment.service,
            "model": model,
            "adapter": adapter,
            "class": cls,
            "prompt": prompt,
            "stream": stream,
            "deadlineMs": deadlineMs,
            "repeatable": False,
        }

    def lookup(self):
        return {
            **self.told("", "lookup", False),
            "repeatable": True,
            "service": self.deployment.plain_service,
        }

    def _counter(self):
        live = [
            h for _, h in sorted(self.world.hosts.items()) if h.node and h.config.role == "counter"
        ]
        return live[self.world.random.randrange(len(live))] if live else None

    def _call_in(self, told):
        host, rng = self._counter(), self.world.random
        if host is not None:
            leaves_ms = 3000 * rng.random() if rng.random() < _LEAVES else None
            floor.caller(self.world, self.history, host, told, leaves_ms=leaves_ms)

    def ask_common(self):
        rng, d = self.world.random, self.deployment
        if rng.random() < 0.3:
            return self._call_in(self.lookup())
        cls, _, stream, deadlineMs = rng.choices(d.classes, [c[1] for c in d.classes])[0]
        number, adapter = rng.randrange(d.models), ""
        adapters = d.adapters // d.models + (number < d.adapters % d.models)
        if rng.random() < 0.15 and adapters:
            adapter = f"a{rng.randrange(adapters)}"
        self._call_in(self.told(f"m{number:02d}", cls, stream, adapter, deadlineMs))

    def ask_rare(self):
        d = self.deployment
        rare = d.models - 1 - self.world.random.randrange(2)
        self._call_in(self.told(f"m{rare:02d}", d.classes[0][0], True))

    def ask_crowd(self):
        self._call_in(self.lookup())

    def ask_hot(self):
        """One model, everybody, with one opening."""
        self._call_in(self.told("m00", self.deployment.classes[0][0], True, "", 8000))
