"""Operators and the platform of a simulated run, and its samples."""

from placement import cluster_state
from replication import follower
from transport import events as e
from transport import failures

from simulation import deployments
from simulation.sim import floor
from simulation.sim import world as worlds

__all__ = ["Operators"]

_ASK_MS = 4000.0


class Operators:
    """What a run does from outside; mixed into `run.Run`."""

    def _ask(self, verb, body, then, tries=40):
        """Ask some live node, again elsewhere if no answer comes in time."""
        live = [
            h
            for _, h in sorted(self.world.hosts.items())
            if h.node and not h.frozen and h.name not in self.avoided
        ]
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
        worlds.post(self.world, host, e.LocalRequest(token, verb, body))
        worlds.after(self.world, _ASK_MS, late)

    def _again(self, verb, body, then, tries):
        worlds.after(self.world, 300.0, lambda: self._ask(verb, body, then, tries - 1))

    def change(self, verb, body, then=None):
        self.changes += 1
        body = {**body, "change": f"ch{self.changes}"}

        def done(outcome):
            if outcome.status == 200 and not outcome.body.get("same"):
                self.history.acked.append(
                    (body["change"], outcome.body["stamp"], self.world.now_ms)
                )
                self._watch(outcome.body["stamp"])
                struck, self.after_yes = self.after_yes, []
                for strike in struck:
                    strike()
            if then and outcome.status == 200:
                then(outcome.body)

        self._ask(verb, body, done)

    def _watch(self, stamp):
        at_ms = self.world.now_ms
        for name in self.world.hosts:
            worlds.after(
                self.world, self.bounds.layoutMs, lambda n=name: self._look(n, stamp, at_ms)
            )

    def _look(self, name, stamp, at_ms):
        """Has a node got there?  Only its own disturbance, or that of a majority
        of depots, gives it more time, and only as much as its return takes."""
        host, due_ms = self.world.hosts[name], self._due(name, at_ms)
        if due_ms > self.world.now_ms + 1.0:
            worlds.after(
                self.world, due_ms - self.world.now_ms, lambda: self._look(name, stamp, at_ms)
            )
        elif (
            host.node is not None and not host.frozen and (host.node.cluster.registry.stamp < stamp)
        ):
            self.history.wrong.append(
                {
                    "what": "not-followed",
                    "node": name,
                    "stamp": stamp,
                    "has": host.node.cluster.registry.stamp,
                    "ackedMs": round(at_ms),
                    "dueMs": round(due_ms),
                }
            )

    def _due(self, name, at_ms):
        """When a node must follow a change acknowledged at a time: in the layout's
        bound and half of it from its own return, which may fall into an election;
        with no majority of depots, when service must
        be back."""
        spans = [(f, t) for n, f, t in self.disturbances if n == name]
        depots = [(f, t) for n, f, t in self.disturbances if n[0] == "d"]
        lost = [
            (max(f, g), min(t, u))
            for i, (f, t) in enumerate(depots)
            for g, u in depots[:i]
            if max(f, g) < min(t, u)
        ]
        due_ms = at_ms + self.bounds.layoutMs
        for back_ms, told in (
            (1.5 * self.bounds.layoutMs, spans),
            (self.bounds.serviceBackMs, lost),
        ):
            for from_ms, to_ms in sorted(told):
                if from_ms < due_ms and to_ms > at_ms:
                    due_ms = max(due_ms, to_ms + back_ms)
        return due_ms

    def furnish(self):
        facts = list(self.engine_facts.values())
        worlds.after(self.world, 4000, lambda: self.change("engines", {"engines": facts}))
        self._set_sections(deployments.sections(self.deployment, self.crowded), 4500)

    def _set_sections(self, sections, wait_ms):
        """One section after another: each needs the one before it."""
        partner, section = sections[0]
        worlds.after(
            self.world,
            wait_ms,
            lambda: self.change(
                "layout",
                {"partner": partner, "actor": partner, "section": section},
                lambda _: sections[1:] and self._set_sections(sections[1:], 1),
            ),
        )

    def change_layout(self, number, routes=0):
        patch = {
            "routes": {
                f"x{self.changes}-{k}": {"service": self.deployment.service, "model": "m00"}
                for k in range(max(1, routes))
            }
        }
        self.change(
            "layout",
            {
                "partner": self.deployment.name,
                "partial": True,
                "actor": self.deployment.name,
                "section": patch,
            },
        )

    def engine_state(self, name, state):
        facts = {**self.engine_facts[name], "state": state}
        self._shut_or_open(
            self.history.engine_news, name, state != "join", "engines", {"engines": [facts]}
        )

    def evacuate(self, zone, evacuated):
        self._shut_or_open(
            self.history.zone_news, zone, evacuated, "zone", {"zone": zone, "evacuated": evacuated}
        )

    def _shut_or_open(self, news, key, shut, verb, body):
        """Shutting counts from its answer; opening, possibly, from the asking."""
        told = {"atMs": self.world.now_ms, "key": key, "shut": shut, "stamp": None}
        if not shut:
            news.append(told)

        def answered(answer):
            told["stamp"] = answer["stamp"]
            if shut:
                news.append({**told, "atMs": self.world.now_ms})

        self.change(verb, body, answered)

    def probe(self, gone=()):
        """After healing: a change acknowledged, and a task through every counter
        that can be expected to serve."""
        start_ms, waiting, self.avoided = self.world.now_ms, {"change"}, set(gone)

        def done(what):
            waiting.discard(what)
            self.missing = sorted(waiting)
            if not waiting and self.back_ms is None:
                self.back_ms = self.world.now_ms - start_ms

        for name, host in self.world.hosts.items():
            if host.config.role == "counter" and name not in gone:
                waiting.add(name)
                self._probe_counter(host, lambda n=name: done(n))
        self.missing = sorted(waiting)
        self.change(
            "layout",
            {
                "partner": self.deployment.name,
                "partial": True,
                "actor": self.deployment.name,
                "section": {"routes": {"probe": {"service": self.deployment.service}}},
            },
            lambda _: done("change"),
        )

    def _probe_counter(self, host, done):
        def ended(task):
            if isinstance(task["outcome"], dict):
                done()
            elif not self.quiet:
                worlds.after(self.world, 200.0, again)

        def again():
            floor.caller(self.world, self.history, host, self.lookup(), ended)

        again()

    def sample(self, host):
        """After every step of a host: nothing may ever go back."""
        node = host.node
        if node is None:
            return
        for shard in [s for s in self.ordering if s in node.ownership.owners]:
            held = node.ownership.owners[shard].held
            if any(then[0] == "order" for _, then in held.waiting):
                self.ordering.pop(shard)(host.name)
                return
        key, now = (host.name, host.life), (node.cluster.registry.stamp, node.follower.position)
        last = self.stamps.get(key, (0, 0))
        if now[0] < last[0] or now[1] < last[1]:
            self.history.wrong.append(
                {"what": "slipped-back", "node": host.name, "from": last, "to": now}
            )
        self.stamps[key] = now

    def finish(self):
        self.final_changes = {
            n: dict(h.node.cluster.registry.changes) for n, h in self.world.hosts.items() if h.node
        }
        self.final_changes["(log)"] = self._in_log()
        known = [h.node.cluster for h in self.world.hosts.values() if h.node]
        self.final_registry = known[0].registry if known else None
        self.final_unmet = {
            w: why
            for f in known[:1]
            for ledger in f.ledgers.values()
            for unmet in ledger.unmet.values()
            for w, why in unmet.items()
        }
        last_ms = max([x.end_ms for x in self.history.loads], default=0.0)
        self.settled = self.world.now_ms - last_ms > 8000

    def _in_log(self):
        """The changes that the log node itself would hand to a new holder."""
        leader = self.leader()
        if leader is None:
            return {}
        floor_ = cluster_state.ClusterState(8)
        cluster_state.apply_update(
            floor_,
            self.world.hosts[leader].node.depot.group.state,
            follower.FeedUpdate(rebuilt=True),
        )
        return floor_.registry.changes
