"""Random sequences of configurations and of everything else that reaches a placer.

Models, adapters, services and engines are added, resized and dropped, while demand is reported for
them, requests wait for them, engines report and carry out orders, and other nodes take the shard
over.  One seed gives the whole sequence.
"""

import random

from adapter import configuration
from configuration import registry as registries
from placement import ledger as ledgers
from placement import placer, registry_view, state
from replication.shard_log import ShardLog
from simulation import platform_made
from simulation.placing import SHARDS, TERMS, PlainEngine, Scene, engine_facts

__all__ = ["ChangingLayouts"]

ROOM_MB, PLACES, LOAD_MS = 220000.0, 3, 600.0
_MODELS, _ADAPTERS, _ENGINES, _SERVICES = 6, 2, 4, 3
_SIZES_MB = (65000.5, 72000.0, 110000.0)
_INSERT_MB = 12.0


def _service_names(rng):
    """Names of services that all belong to the same shard."""
    found = {}
    while True:
        name = platform_made.word(rng)
        names = found.setdefault(registry_view.shard_of(name, SHARDS), [])
        names.append(name)
        if len(names) == _SERVICES:
            return names


class ChangingLayouts:
    """A placer's Scene whose configuration changes; `step` does one random thing and lets a tick's
    time pass.  `holds`: id -> (service, model, adapter) of each request that waits."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.edition, self.count, self.engine_count = 0, 0, 0
        self.registry = registries.Registry(reader=configuration.READER, zonesKnown=("z", "y"))
        self.names = _service_names(self.rng)
        models = [platform_made.word(self.rng) for _ in range(_MODELS)]
        self.models_of = {
            name: models[2 * n : 2 * n + 4] + models[: max(0, 2 * n + 4 - _MODELS)]
            for n, name in enumerate(self.names)
        }
        self.listed = {name: self._parcels(name) for name in self.names[:2]}
        self.sizes = {}
        self._configure()
        self.scene = Scene(self.registry, self.names[0], [])
        for _ in range(_ENGINES):
            self._add_engine()
        self.holds, self.answered = {}, set()

    def _parcels(self, name):
        return {model: self._parcel() for model in self.models_of[name]}

    def _parcel(self):
        return self.rng.choice(_SIZES_MB), self.rng.randrange(_ADAPTERS + 1)

    def _configure(self):
        """Put the listed services and models in force, the same size for a model everywhere."""
        self.edition += 1
        same = {m: size for parcels in self.listed.values() for m, size in parcels.items()}
        services = [self._service(name, same) for name in self.listed]
        whole = {"edition": self.edition, "services": services, "routes": []}
        body = {"expect": self.edition - 1, "written": whole, "partial": False}
        record, _, failure = registries.decide(self.registry, "written", body)
        assert failure is None, failure
        registries.apply(self.registry, record)
        for model, (size_mb, adapters) in same.items():
            self.sizes[model] = size_mb, 0
            for n in range(adapters):
                self.sizes[f"{model}/a{n + 1}"] = _INSERT_MB, 1

    def _service(self, name, same):
        service = platform_made.models_service(random.Random(name), name, 1, 0)
        service["engine"].update(loadPerS=8.0, weightMb=ROOM_MB, insertSlots=PLACES)
        service["engine"]["parcels"] = [
            {
                "name": model,
                "weightMb": same[model][0],
                "loadS": LOAD_MS / 1000,
                "inserts": same[model][1],
                "insertMb": _INSERT_MB,
            }
            for model in self.listed[name]
        ]
        return service

    def _add_engine(self):
        self.engine_count += 1
        name, service = f"e{self.engine_count}", self.rng.choice(self.names)
        held = {self.rng.choice(self.models_of[service])} & self.sizes.keys()
        zone = self.rng.choice("zy")
        self._list_engine(engine_facts(name, service, zone=zone))
        self.scene.engines[name] = PlainEngine(
            name, self.sizes, ROOM_MB, PLACES, LOAD_MS, set(held), set(held)
        )

    def _list_engine(self, facts):
        record, _, failure = registries.decide(self.registry, "engines", {"engines": [facts]})
        assert failure is None, failure
        registries.apply(self.registry, record)

    def step(self):
        self.rng.choice(self._MOVES)(self)
        self.scene.step()
        self._note_answers()

    def _note_answers(self):
        for reply in self.scene.told:
            self.answered.add(reply.token)
        self.scene.told.clear()

    def _item(self):
        service = self.rng.choice(self.names)
        model = self.rng.choice(self.models_of[service])
        adapter = self.rng.choice(["", "", "a1", "a2"])
        return service, model, adapter

    def change_models(self):
        name = self.rng.choice(sorted(self.listed))
        model = self.rng.choice(self.models_of[name])
        if model in self.listed[name] and self.rng.random() < 0.6:
            del self.listed[name][model]
        else:
            self.listed[name][model] = self._parcel()
        if not self.listed[name]:
            self.listed[name] = self._parcels(name)
        self._configure()

    def change_services(self):
        name = self.rng.choice(self.names)
        if name not in self.listed:
            self.listed[name] = self._parcels(name)
        elif len(self.listed) > 1:
            del self.listed[name]
        self._configure()

    def change_engines(self):
        names = sorted(self.registry.engines)
        if len(names) < _ENGINES or self.rng.random() < 0.5:
            self._add_engine()
            return
        self._list_engine({**self.registry.engines[self.rng.choice(names)], "state": "gone"})

    def report_demand(self):
        items = {}
        for _ in range(3):
            _, model, adapter = self._item()
            count = self.rng.randrange(1, 40)
            items[model] = items.get(model, 0) + count
            if adapter:
                items[f"{model}/{adapter}"] = count
        engine = f"e{self.rng.randrange(1, self.engine_count + 1)}"
        outcomes = {engine: (0.0, self.rng.randrange(3), 0)}
        self._command("wanted", {"items": items, "outcomes": outcomes})

    def hold(self):
        service, model, adapter = self._item()
        self.count += 1
        id_ = f"h{self.count}"
        self.holds[id_] = service, model, adapter
        facts = {"id": id_, "service": service, "model": model, "adapter": adapter}
        facts |= {"class": "rank1", "waitMs": 5000, "node": "c0", "life": "l"}
        self._command("hold", facts)

    def hold_again(self):
        """A counter sends a hold again, as it does until it is answered."""
        if self.holds:
            id_ = self.rng.choice(sorted(self.holds))
            service, model, adapter = self.holds[id_]
            facts = {"id": id_, "service": service, "model": model, "adapter": adapter}
            facts |= {"class": "rank1", "waitMs": 5000, "node": "c0", "life": "l"}
            self._command("hold", facts)

    def unhold(self):
        if self.holds:
            id_ = self.rng.choice(sorted(self.holds))
            del self.holds[id_]
            self._command("unhold", {"id": id_, "why": "served"})

    def take_over(self):
        """Another node becomes the lease holder; it has the ledger and nothing else."""
        old = self.scene.p
        new = state.Placer(old.shard, old.epoch + 1, ShardLog(old.shard, old.epoch + 1, ready=True))
        new.held.checkpoint = ledgers.dump(old.ledger)
        placer.on_taken_over(new, self.scene.now_ms, TERMS)
        self.scene.p = new

    def pass_time(self):
        for _ in range(20):
            self.scene.step()

    def _command(self, verb, body):
        self.scene.command(verb, body)
        self._note_answers()

    _MOVES = (
        *[report_demand] * 8,
        *[hold] * 6,
        *[hold_again] * 2,
        *[unhold] * 3,
        *[change_models] * 4,
        change_services,
        *[change_engines] * 2,
        *[pass_time] * 6,
        take_over,
    )
