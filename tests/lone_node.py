"""One node without peers: requests come in, loads reach a state, time passes."""

from configuration import document_facts
from placement import cluster_state, registry_view
from placement import ledger as ledgers
from pulleyhitch import config, node
from simulation.placing import engine_facts
from transport import events
from transport.effects import Reply

__all__ = ["ACCEPT_MS", "MODEL", "OTHER_MODEL", "START_MS", "TICK_MS", "WAIT_MS", "LoneNode"]

HOST, TENANT = "h.example", "limited"
MODEL, OTHER_MODEL = "m1", "m2"
HOLD_MS = 20_000.0
ACCEPT_MS, WAIT_MS = 2400.0, 5600.0
TICK_MS = 40.0
START_MS = 1e6
_MODELS = [{"name": name, "roomMb": 1.0} for name in (MODEL, OTHER_MODEL)]
_SERVICES = {"s": {"kind": "models", "models": _MODELS, "loadsPerS": 1.0}}


def _route(prefix, public):
    return {
        "host": HOST,
        "prefix": prefix,
        "kind": "stream",
        "holdMs": HOLD_MS,
        "aimMs": 6000.0,
        "rank": 0,
        "split": [{"service": "s", "weight": 1.0}],
        "tries": 2,
        "public": public,
    }


class LoneNode:
    """One node with one engine.  `outcomes`: token -> (time, outcome)."""

    def __init__(self, slots=64):
        raw = {
            "name": "c0",
            "role": "counter",
            "zone": "x",
            "address": "127.0.0.1:1",
            "http": "127.0.0.1:2",
            "seeds": ["127.0.0.1:1"],
            "worksUnheard": True,
        }
        self.node = node.make(config.check(raw), "life", 1)
        self.now_ms, self.outcomes = START_MS, {}
        self.node.follower.current_ms = self.now_ms
        routes = {"open": _route("/open/", True), "limited": _route("/limited/", False)}
        self._section = document_facts.section(routes, _SERVICES)
        tenant = {"keys": [TENANT], "ratePerS": 1, "burst": 1, "rank": None}
        self._section["tenants"] = {TENANT: tenant}
        registry = self.node.cluster.registry
        registry.sections["floor"] = self._section
        registry.engines["e0"] = engine_facts("e0", "s", slots=slots, roomMb=10)
        shard = registry_view.shard_of("s", self.node.config.shards)
        self.ledger = cluster_state.ledger_of(self.node.cluster, shard)

    def event(self, event):
        for effect in node.handle(self.node, self.now_ms, event):
            if isinstance(effect, Reply):
                self.outcomes[effect.token] = self.now_ms, effect.outcome

    def ask(self, token, prefix="/open/", model=MODEL):
        fields = {"id": token, "host": HOST, "path": prefix, "deadlineMs": 30_000}
        key = TENANT.encode() if prefix == "/limited/" else b""
        fields |= {"key": key, "model": model, "adapter": "", "opening": ()}
        self.event(events.LocalRequest(token, "passage", fields | {"tokens": ()}))

    def stop(self):
        body = {"acceptMs": ACCEPT_MS, "waitMs": WAIT_MS}
        self.event(events.LocalRequest("", "leave", body))

    def spin(self, until_ms):
        """Let time pass until this time after the start."""
        while self.now_ms < START_MS + until_ms:
            self.now_ms += TICK_MS
            self.event(events.Tick())

    def order(self, state, model=MODEL):
        """An order to load a model reaches this state."""
        ledgers.apply(self.ledger, ledgers.order_record("e0", model, "load", "o1", 1.0, 0, "s"))
        ledgers.apply(self.ledger, ledgers.state_record("e0", model, "o1", state))

    def ended(self, token, proof):
        self.outcomes.pop(token, None)
        self.event(events.LocalRequest(token, "ended", {"proof": proof}))

    def drop(self, part, name):
        """The next configuration lacks a service or model."""
        self._section = {**self._section, part: {**self._section[part]}}
        del self._section[part][name]
        self.node.cluster.registry.sections["floor"] = self._section
        self.node.cluster.registry.memo.clear()
        self.node.cluster.changes += 1
