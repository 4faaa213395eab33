"""One holder, one engine and what is on its way between them: a state of the search."""

import re
from dataclasses import dataclass, field, fields, is_dataclass

from placement import engine_view, registry_view, state
from placement import ledger as ledgers
from replication.shard_log import ShardLog

from simulation.engine_orders import truth
from simulation.engine_orders.settings import ENGINE, registry_of
from simulation.model.forks import fork
from simulation.model.invariants import Violation

__all__ = ["Asked", "World", "begun", "new_holder"]

_SHARD = 1
_ORDER_ID = re.compile(r"^(?:again:)?\d+\.\d+\.(\d+)$")
# What neither answers nor reports look at, or what only counts up.
_LEFT_OUT = frozenset(
    {
        "held",
        "notes",
        "demand",
        "outcome_history",
        "plan",
        "wait_queue",
        "summary_ms",
        "repeat_ms",
        "pause_ms",
        "poll",
        "report_count",
        "orderCount",
        "holdCount",
    }
)


@dataclass(frozen=True)
class Asked:
    """A call for a report; `told`: what the engine put into its answer, None before that."""

    call: str
    told: object = None


@dataclass
class World:
    """`staged`: orders that are logged and not yet safe; `flying`: orders on their way;
    `answers`: call -> status that is on its way back; `asked`: calls for reports;
    `durable`: the ledger as the next holder finds it at the least."""

    settings: object
    registries: tuple
    placer: state.Placer
    engine: truth.TrueEngine
    durable: ledgers.Ledger
    now_ms: float = 1e6
    resized: bool = False
    staged: list = field(default_factory=list)
    flying: list = field(default_factory=list)
    answers: dict = field(default_factory=dict)
    asked: list = field(default_factory=list)
    spent: dict = field(default_factory=dict)

    @property
    def registry(self):
        """The configuration in force."""
        return self.registries[self.resized]

    def fork(self):
        """A copy that shares only what never changes."""
        made = World.__new__(World)
        made.__dict__ = self.__dict__.copy()
        made.placer = fork(self.placer)
        made.durable = fork(self.durable)
        for name in ("staged", "flying", "asked"):
            made.__dict__[name] = list(made.__dict__[name])
        made.answers, made.spent = dict(self.answers), dict(self.spent)
        return made

    def key(self):
        """One value for states that differ only in times and numbers, not in their order."""
        tokens = []
        for part in (
            self.placer,
            self.engine,
            self.durable,
            self.resized,
            self.staged,
            sorted(self.flying, key=lambda m: (m.call, m.expected is None, m.expected)),
            self.answers,
            self.asked,
            self.spent,
        ):
            _write(part, tokens)
        return hash(tuple(_ranked(tokens)))

    def may_order(self):
        """Whether the holder may give an order now."""
        view = engine_view.view_of(self.placer, ENGINE)
        return engine_view.count_known(view) and all(
            entry["state"] == "loaded" for entry in self.entries().values()
        )

    def entries(self):
        """What the holder charges: item -> its ledger's entry."""
        return self.placer.ledger.engines.get(ENGINE, {})

    def check(self):
        """Raise Violation if the holder might order beside something that it doesn't charge."""
        if not self.may_order():
            return
        expected = engine_view.expected_count(engine_view.view_of(self.placer, ENGINE))
        if expected not in (None, self.engine.count):
            return
        charged_mb, charged_places = registry_view.charged(
            self.registry, self.placer.ledger, ENGINE
        )
        held = dict(self._at_the_next_order())
        missing = sorted(held.keys() - self.entries().keys())
        if missing:
            raise Violation("charged", f"{', '.join(missing)} at count {self.engine.count}")
        if sum(mb for mb, _ in held.values()) > charged_mb or (
            sum(places for _, places in held.values()) > charged_places
        ):
            raise Violation("charged", f"less than {held} takes")

    def _at_the_next_order(self):
        """What the engine holds when it is idle again, at the count that it has now."""
        if self.engine.under_way is None:
            return self.engine.items
        return truth.finished(self.engine).items


def _write(value, tokens):
    kind = type(value)
    if kind is dict:
        tokens.append("{")
        for name in sorted(value, key=str):
            _write(name, tokens)
            _write(value[name], tokens)
        tokens.append("}")
    elif kind in (list, tuple):
        tokens.append("[")
        for each in value:
            _write(each, tokens)
        tokens.append("]")
    elif is_dataclass(kind):
        tokens.append("(")
        for each in fields(kind):
            if each.name not in _LEFT_OUT:
                _write(getattr(value, each.name), tokens)
        tokens.append(")")
    else:
        tokens.append(value)


def _ranked(tokens):
    """Times by their rank, and orders' ids by the rank of their numbers."""
    times = sorted({t for t in tokens if type(t) is float})
    ranks = {t: ("time", n) for n, t in enumerate(times)}
    numbers = sorted({int(f[1]) for t in tokens if type(t) is str and (f := _ORDER_ID.match(t))})
    order_ranks = {number: n for n, number in enumerate(numbers)}
    for token in tokens:
        if type(token) is float:
            yield ranks[token]
        elif type(token) is str and (matched := _ORDER_ID.match(token)):
            yield token[: matched.start(1)] + f"#{order_ranks[int(matched[1])]}"
        else:
            yield token


def begun(settings):
    """A holder that knows nothing yet, and an engine that holds what it starts with."""
    registries = (registry_of(settings, False), registry_of(settings, True))
    held = tuple(
        (item, registry_view.item_size(registries[0], item)[:2]) for item in sorted(settings.held)
    )
    engine = truth.TrueEngine(settings.room_mb, settings.places, held, counts=settings.counts)
    holder = new_holder(1)
    holder.not_before_ms = 0.0
    return World(settings, registries, holder, engine, ledgers.Ledger())


def new_holder(epoch):
    """A holder that has recovered nothing yet."""
    return state.Placer(_SHARD, epoch, ShardLog(_SHARD, epoch, ready=True))
