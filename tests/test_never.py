"""Each never-item caused: a script that the code passes, and the same script
on a deliberately broken variant, where the checker must see the failure."""

from testtools import TestCase
from testtools.matchers import Equals

from dispatch import orders, settle, world
from junction import choice, pieces, router
from logbook import copying, election, feed, follow
from pulleyhitch import keeping
from rehearsal import deployments
from rehearsal.sim import faults, harm, run
from waybill import failures

SEEDS = (3, 8)


def step(atMs, fault, target, forMs=3000.0):
    return faults.Step(atMs, fault, target, forMs)


class Never(TestCase):
    def simulate(self, seed, steps, **more):
        return run.simulate(seed, deployments.SMALL, steps=steps, spanMs=20000.0, **more)

    def caused(self, checker, steps, broken, **more):
        """Green as it is; red, by this checker, once `broken` is done to it."""
        for seed in SEEDS:
            found = self.simulate(seed, steps, **more)
            self.assertThat(found.violations, Equals({}), f"seed {seed}")
        broken()
        red = [seed for seed in SEEDS
               if checker in self.simulate(seed, steps, **more).violations]
        self.assertTrue(red, f"{checker} saw nothing on the broken variant")

    def test_stream_runs_once(self):
        real = router.ended

        def eager(r, nowMs, floor, ageMs, counters, token, proof):
            proof = "not-run" if proof == "unknown" else proof
            return real(r, nowMs, floor, ageMs, counters, token, proof)
        self.caused("stream-runs-once",
                    [step(2000, "engine-foreign", "e0", 9000),
                     step(4000, "engine-foreign", "e1", 9000)],
                    lambda: self.patch(router, "ended", eager))

    def test_refused_never_runs(self):
        self.caused("refused-never-runs",
                    [step(2000, "engine-foreign", "e0", 9000)],
                    lambda: self.patch(failures, "OutcomeUnknown",
                                       lambda cause: failures.Overloaded(1000, cause)))

    def test_answers_whole(self):
        def trusting(stream, piece):
            stream.next += 1
            return pieces.Pass(piece, piece["last"])
        self.caused("answers-whole", [step(2000, "engine-foreign", "e0", 9000)],
                    lambda: self.patch(pieces, "take", trusting))

    def test_leaving_engine(self):
        self.caused("leaving-engine", [step(2000, "engine-leaving", "e0", 9000)],
                    lambda: self.patch(world, "usable",
                                       lambda reg, e: e["zone"] not in reg.zones))

    def test_evacuated_zone(self):
        self.caused("evacuated-zone", [step(2000, "evacuate", "north", 9000)],
                    lambda: self.patch(world, "usable",
                                       lambda reg, e: e["state"] == "join"))

    def test_evacuated_zone_while_a_counter_is_cut_off(self):
        """The counter that can't hear of it must stop by itself."""
        names = [f"d{i}" for i in range(3)] + ["c0", "c1"]

        def fearless(r, nowMs, floor, ageMs, counters, task):
            return real(r, nowMs, floor, 0.0, counters, task)
        real = router.begin
        self.patch(faults, "FAULTS", {**faults.FAULTS, "deaf": ("any", lambda r, n, ms: (
            harm.cut(r, [(a, n) for a in names], ms)))})
        self.caused("evacuated-zone",
                    [step(2000, "deaf", "c2", 14000), step(2500, "evacuate", "north", 12000)],
                    lambda: self.patch(router, "begin", fearless))

    def test_layout_followed(self):
        self.caused("layout-followed", [step(2000, "race", "c0"), step(9000, "race", "c0")],
                    lambda: (self.patch(feed, "push", lambda g, n, nowMs: []),
                             self.patch(feed, "push_to", _lazy(feed.push_to))))

    def test_never_back(self):
        def forgetful(f, message):
            f.place = 0
            return real(f, message)
        real = follow.on_view
        self.patch(follow, "_RECENT", 1)
        self.caused("never-back", [step(2000, "cut-one-way", "c1", 6000)],
                    lambda: (self.patch(follow, "on_view", forgetful),
                             self.patch(follow, "_catch_up", lambda f, place: (
                                 follow.FeedView(f.term, f.place - 1, 0,
                                                 follow.books.view(f.book))))))

    def test_acked_kept(self):
        def alone(g):
            return copying.advance(g, g.synced) if g.synced > g.commit else []
        self.caused("acked-kept",
                    [step(1000, "lone-leader", "", 4000)]
                    + [step(1050 + 100 * i, "race", "c0") for i in range(4)],
                    lambda: self.patch(copying, "count", alone))

    def test_one_owner(self):
        """Frozen between logging an order and sending it, woken after another
        took over: a non-fencing engine must not hear of that order."""
        shard = str(world.shard_of("guidance", 8))
        self.caused("one-owner",
                    [step(1000, "freeze-ordering", shard, 7000),
                     step(1100, "engine-restart", "e0", 200),
                     step(1100, "engine-restart", "e1", 200)],
                    lambda: self.patch(keeping, "grant_end", lambda f, t: float("inf")),
                    fencing=False)

    def test_a_fencing_engine_refuses_the_old_owner(self):
        """The same freeze with a holder that never doubts its grant: the late
        order is sent, and the engine's fence is what stops it."""
        self.patch(keeping, "grant_end", lambda f, t: float("inf"))
        shard, fenced = str(world.shard_of("guidance", 8)), 0
        for seed in SEEDS:
            found = self.simulate(seed, [
                step(1000, "freeze-ordering", shard, 7000),
                step(1100, "engine-restart", "e0", 200),
                step(1100, "engine-restart", "e1", 200)], fencing=True)
            fenced += found.facts["fenced"]
            for _, facts in found.violations.get("one-owner", ()):
                self.assertFalse(facts["obeyed"], facts)
        self.assertTrue(fenced > 0)

    def test_room_and_store(self):
        def hasty(p, entry, seen, askedMs):
            return "forgotten" if seen is None else real(p, entry, seen, askedMs)
        real = settle._settled
        self.caused("room-and-store",
                    [step(500, "engine-silent", "e0", 8000),
                     step(500, "engine-silent", "e1", 8000),
                     step(700, "engine-restart", "e0", 100),
                     step(900, "engine-restart", "e1", 100), step(1000, "burst", "c0")],
                    lambda: (self.patch(settle, "_settled", hasty),
                             self.patch(orders, "_store_allows", lambda *a: True)))

    def test_no_flood(self):
        self.caused("no-flood",
                    [step(2000, "engine-restart", "p0", 1000), step(2900, "crowd", "c0"),
                     step(3100, "crowd", "c0"), step(3300, "crowd", "c0")],
                    lambda: self.patch(choice, "limit", lambda *a: 1000))

    def test_service_back(self):
        self.caused("service-back", [step(4000, "kill-leader", "", 3000)],
                    lambda: self.patch(election, "tick", _no_canvass(election.tick)))

    def test_final_answers(self):
        self.caused("final-answers", [step(2000, "burst", "c0")] + [
            step(1900, "engine-dark", f"e{i}", 18000) for i in range(3)],
            lambda: (self.patch(router, "tick", lambda r, nowMs: []),
                     self.patch(router, "wake", lambda *a: [])))


def _lazy(real):
    """A feed that sends only once in a long while."""
    def push_to(g, node, nowMs):
        return real(g, node, nowMs) if nowMs - node.sentMs > 6000 else []
    return push_to


def _no_canvass(real):
    """Nobody canvasses after the first leader."""
    def tick(g, nowMs):
        if g.role != "leader" and g.term >= 1:
            return []
        return real(g, nowMs)
    return tick


class Scripts(TestCase):
    def test_impossible_scripts_are_typed(self):
        for bad, field in ((step(1, "meteor", "c0"), "script.0.fault"),
                           (step(1, "engine-dark", "e9"), "script.0.target"),
                           (step(-1, "kill-depot", "d0"), "script.0.atMs")):
            found = run.simulate(1, deployments.SMALL, steps=[bad])
            self.assertThat(found.field, Equals(field))

    def test_same_seed_same_run(self):
        first, again = (run.simulate(5, deployments.SMALL, count=6, spanMs=15000.0)
                        for _ in range(2))
        self.assertThat(first, Equals(again))
