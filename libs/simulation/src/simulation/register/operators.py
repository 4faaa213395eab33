"""Operators of a simulated cluster: they lose answers, go on to other nodes, send again.

Each call is sent as it was until its answer is clear, and is then one operation of the
history.  Of an order for a zone each sending may have had an effect of its own, until the
call was answered.
"""

import hashlib
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from simulation.linearizability import Operation, check
from simulation.register import model
from simulation.register.model import Change, ReadConfiguration, ReadZones, ZoneOrder

__all__ = ["Call", "Operators"]

_CLEAR = (200, 400, 404, 409, 412, 413, 422)
_EMPTY = model.State()
_SILENCE_MS = 1000.0
_FIRST_PAUSE_MS, _LONGEST_PAUSE_MS = 100.0, 1000.0


@dataclass
class Call:
    """One call: `send(name, answered)` sends it to a node once more."""

    action: Any
    send: Callable
    begun_ms: float
    sent_ms: list = field(default_factory=list)
    ended_ms: float = float("inf")
    outcome: Any = None
    statuses: list = field(default_factory=list)
    asked: str = ""


class Operators:
    """Several operators' calls; `loss` is the share of answers lost on their way."""

    def __init__(self, cluster, loss=0.0):
        self.cluster, self.loss = cluster, loss
        self.random = cluster.random
        self.calls: list[Call] = []
        self.reach: list[str] = list(cluster.names)
        # Whether a sending again goes to another node, as the users' operators do.
        self.goes_on_elsewhere = False

    def open(self):
        """How many calls are under way."""
        return sum(1 for call in self.calls if call.outcome is None)

    def change(self, method, told, expect, valid=True):
        """PUT or PATCH a configuration."""
        call = self._change(method, told, expect, valid)
        self._send(call)
        return call

    def lose_answer(self, method, told, expect):
        """PUT or PATCH a configuration once, to one node; its answer never arrives."""
        call = self._change(method, told, expect, True)
        call.sent_ms.append(call.begun_ms)
        call.send(self.random.choice(self.reach), lambda status, body: None)

    def _change(self, method, told, expect, valid):
        data = json.dumps(told)
        order = hashlib.sha256(f"{method} {expect} {data}".encode()).hexdigest()[:12]
        action = Change(
            order, expect, told["edition"], model.canonical(told), method == "PATCH", valid
        )
        return self._call(
            action,
            lambda name, answered: self.cluster.http(
                name, method, "/config", data, expect, answered
            ),
        )

    def zone(self, zone, evacuated):
        """Evacuate a zone or restore it."""
        method = "POST" if evacuated else "DELETE"
        return self._begin(
            ZoneOrder(zone, evacuated),
            lambda name, answered: self.cluster.http(
                name, method, f"/evacuate/{zone}", None, None, answered
            ),
        )

    def read(self):
        """GET the configuration."""

        def send(name, answered):
            def read(status, body):
                told = json.loads(body) if status == 200 else {}
                found = (told["edition"], model.canonical(told)) if told else (0, "")
                answered(status, found)

            return self.cluster.http(name, "GET", "/config", None, None, read)

        return self._begin(ReadConfiguration(), send)

    def read_zones(self):
        """Read which zones are evacuated."""

        def send(name, answered):
            self.cluster.zones(name, lambda zones: answered(503 if zones is None else 200, zones))

        return self._begin(ReadZones(), send)

    def newest(self):
        """The highest edition that was confirmed to anybody."""
        return max(
            (
                call.action.edition
                for call in self.calls
                if isinstance(call.action, Change) and call.outcome == model.TAKEN
            ),
            default=0,
        )

    def _call(self, action, send):
        call = Call(action, send, self.cluster.now_ms)
        self.calls.append(call)
        return call

    def _begin(self, action, send):
        call = self._call(action, send)
        self._send(call)
        return call

    def _send(self, call):
        if call.outcome is not None:
            return
        call.sent_ms.append(self.cluster.now_ms)
        name = call.asked = self._next_node(call)
        sending = {"open": True, "leave": None}

        def go_on():
            if not sending["open"] or call.outcome is not None:
                return
            sending["open"] = False
            if sending["leave"]:
                sending["leave"]()
            pause_ms = min(_LONGEST_PAUSE_MS, _FIRST_PAUSE_MS * 2 ** (len(call.sent_ms) - 1))
            self.cluster.after(pause_ms * (0.5 + self.random.random()), lambda: self._send(call))

        def answered(status, found):
            if self.random.random() >= self.loss:
                self.cluster.after(self._delay_ms(), lambda: arrive(status, found))

        def arrive(status, found):
            if not sending["open"] or call.outcome is not None:
                return
            call.statuses.append(status)
            if status not in _CLEAR:
                go_on()
                return
            reads = isinstance(call.action, (ReadConfiguration, ReadZones))
            call.outcome = found if reads else status
            call.ended_ms = self.cluster.now_ms

        def reach():
            if self.cluster.world.hosts[name].node is not None:
                sending["leave"] = call.send(name, answered)

        self.cluster.after(self._delay_ms(), reach)
        self.cluster.after(_SILENCE_MS, go_on)

    def _next_node(self, call):
        others = [name for name in self.reach if name != call.asked]
        return self.random.choice(others if self.goes_on_elsewhere and others else self.reach)

    def _delay_ms(self):
        return 0.5 + 3 * self.random.random()

    def history(self):
        """Every call as operations that can be judged."""
        found = []
        for number, call in enumerate(self.calls):
            client = f"call {number}"
            sent = call.sent_ms if isinstance(call.action, ZoneOrder) else [call.begun_ms]
            for at_ms in sent[:-1]:
                found.append(Operation(client, call.action, at_ms, call.ended_ms))
            found.append(Operation(client, call.action, sent[-1], call.ended_ms, call.outcome))
        return found

    def judge(self, initial=_EMPTY):
        """Whether all that was answered can be told as one copy's doings."""
        return check(self.history(), initial, model.apply)
