"""Operators, the platform and callers of a simulated run, and its samples."""

from dispatch import floor as floors
from logbook import follow
from rehearsal import deployments
from rehearsal.sim import floor
from rehearsal.sim import world as worlds
from waybill import events as e
from waybill import failures

__all__ = ["Operators"]

_ASK_MS = 4000.0


class Operators:
    """What a run does from outside; mixed into `run.Run`."""

    def _ask(self, verb, body, then, tries=40):
        """Ask some live node, again elsewhere if no answer comes in time."""
        live = [h for _, h in sorted(self.world.hosts.items()) if h.node and not h.frozen]
        if not live or tries == 0:
            return
        host = live[self.world.random.randrange(len(live))]
        self.changes += 1
        token, state, life = f"o{self.changes}", {"open": True}, host.life

        def got(outcome):
            if not state["open"]:
                return
            state["open"] = False
            if isinstance(outcome, failures.Failure):
                self._again(verb, body, then, tries)
            else:
                then(outcome)

        def late():
            if state["open"]:
                state["open"] = False
                self._ask(verb, body, then, tries - 1)
        self.world.replies[host.name, life, token] = got
        worlds.post(self.world, host, e.Asked(token, verb, body))
        worlds.after(self.world, _ASK_MS, late)

    def _again(self, verb, body, then, tries):
        worlds.after(self.world, 300.0, lambda: self._ask(verb, body, then, tries - 1))

    def change(self, verb, body, then=None):
        self.changes += 1
        body = {**body, "change": f"ch{self.changes}"}

        def done(outcome):
            if outcome.status == 200 and not outcome.body.get("same"):
                self.history.acked.append((body["change"], outcome.body["stamp"]))
                self._watch(outcome.body["stamp"])
            if then and outcome.status == 200:
                then(outcome.body)
        self._ask(verb, body, done)

    def _watch(self, stamp):
        atMs = self.world.nowMs

        def look():
            for name, host in self.world.hosts.items():
                if (host.node is None or host.frozen or host.config.role != "counter"
                        or self.calmMs.get(name, 0) > self.world.nowMs):
                    continue
                if host.node.floor.registry.stamp < stamp:
                    self.history.wrong.append({
                        "what": "not-followed", "node": name, "stamp": stamp,
                        "has": host.node.floor.registry.stamp, "ackedMs": round(atMs)})
        worlds.after(self.world, self.bounds.layoutMs, look)

    def furnish(self):
        facts = list(self.engineFacts.values())
        worlds.after(self.world, 4000, lambda: self.change("engines", {"engines": facts}))
        section = deployments.section(self.deployment)
        worlds.after(self.world, 4500, lambda: self.change("layout", {
            "partner": self.deployment.name, "actor": self.deployment.name,
            "section": section}))

    def change_layout(self, number, routes=0):
        patch = {"routes": {f"x{self.changes}-{k}": {"service": self.deployment.service,
                                                     "model": "m00"}
                            for k in range(max(1, routes))}}
        self.change("layout", {"partner": self.deployment.name, "partial": True,
                               "actor": self.deployment.name, "section": patch})

    def engine_state(self, name, state):
        facts = {**self.engineFacts[name], "state": state}
        self._shut_or_open(self.history.engineNews, name, state != "join",
                           "engines", {"engines": [facts]})

    def evacuate(self, zone, evacuated):
        self._shut_or_open(self.history.zoneNews, zone, evacuated,
                           "zone", {"zone": zone, "evacuated": evacuated})

    def _shut_or_open(self, news, key, shut, verb, body):
        """Shutting counts from its answer; opening, possibly, from the asking."""
        told = {"atMs": self.world.nowMs, "key": key, "shut": shut, "stamp": None}
        if not shut:
            news.append(told)

        def answered(answer):
            told["stamp"] = answer["stamp"]
            if shut:
                news.append({**told, "atMs": self.world.nowMs})
        self.change(verb, body, answered)

    def traffic(self):
        def one():
            if self.quiet:
                return
            self.ask_common()
            worlds.after(self.world, 60 * self.world.random.random() + 20, one)
        worlds.after(self.world, 8000, one)

    def _told(self, model, cls, stream):
        return {"id": f"task{self.history.asked}", "service": self.deployment.service,
                "model": model, "adapter": "", "class": cls, "prompt": "a b",
                "stream": stream, "deadlineMs": 12000, "repeatable": False}

    def _counter(self):
        live = [h for _, h in sorted(self.world.hosts.items())
                if h.node and h.config.role == "counter"]
        return live[self.world.random.randrange(len(live))] if live else None

    def ask_common(self):
        host, rng = self._counter(), self.world.random
        if host is None:
            return
        if rng.random() < 0.3:
            self.ask_crowd()
            return
        cls, _, stream = rng.choices(self.deployment.classes,
                                     [c[1] for c in self.deployment.classes])[0]
        told = self._told(f"m{rng.randrange(self.deployment.models):02d}", cls, stream)
        floor.caller(self.world, self.history, host, told)

    def ask_rare(self):
        host = self._counter()
        if host is not None:
            rare = self.deployment.models - 1 - self.world.random.randrange(2)
            cls = self.deployment.classes[0][0]
            floor.caller(self.world, self.history, host, self._told(f"m{rare:02d}", cls, True))

    def ask_crowd(self):
        host = self._counter()
        if host is not None:
            told = {**self._told("", "lookup", False), "repeatable": True,
                    "service": self.deployment.plainService}
            floor.caller(self.world, self.history, host, told)

    def probe(self):
        """After healing: a change acknowledged, and a task through every counter."""
        startMs, waiting = self.world.nowMs, {"change"}

        def done(what):
            waiting.discard(what)
            self.missing = sorted(waiting)
            if not waiting and self.backMs is None:
                self.backMs = self.world.nowMs - startMs
        for name, host in self.world.hosts.items():
            if host.config.role == "counter":
                waiting.add(name)
                self._probe_counter(host, lambda n=name: done(n))
        self.missing = sorted(waiting)
        self.change("layout", {"partner": self.deployment.name, "partial": True,
                               "actor": self.deployment.name,
                               "section": {"routes": {"probe": {
                                   "service": self.deployment.service}}}},
                    lambda _: done("change"))

    def _probe_counter(self, host, done):
        def ended(task):
            if isinstance(task["outcome"], dict):
                done()
            elif not self.quiet:
                worlds.after(self.world, 200.0, again)

        def again():
            told = {**self._told("", "lookup", False), "repeatable": True,
                    "service": self.deployment.plainService}
            floor.caller(self.world, self.history, host, told, ended)
        again()

    def sample(self, host):
        """After every step of a host: nothing may ever go back."""
        node = host.node
        if node is None:
            return
        for shard in [s for s in self.ordering if s in node.keepers.keepers]:
            held = node.keepers.keepers[shard].held
            if any(then[0] == "order" for _, then in held.waiting):
                self.ordering.pop(shard)(host.name)
                return
        key, now = (host.name, host.life), (node.floor.registry.stamp, node.follow.place)
        last = self.stamps.get(key, (0, 0))
        if now[0] < last[0] or now[1] < last[1]:
            self.history.wrong.append({"what": "slipped-back", "node": host.name,
                                       "from": last, "to": now})
        self.stamps[key] = now
        loading = sum(1 for x in self.world.engines.values() if x.up
                      for s in x.core.items.values() if s == "loading")
        self.mostLoading = max(self.mostLoading, loading)

    def finish(self):
        self.finalChanges = {n: dict(h.node.floor.registry.changes)
                             for n, h in self.world.hosts.items() if h.node}
        self.finalChanges["(log)"] = self._in_log()

    def _in_log(self):
        """The changes that the log node itself would hand to a new holder."""
        leader = self.leader()
        if leader is None:
            return {}
        floor_ = floors.Floor(8)
        floors.on_news(floor_, self.world.hosts[leader].node.depot.group.book,
                       follow.News(rebuilt=True))
        return floor_.registry.changes
