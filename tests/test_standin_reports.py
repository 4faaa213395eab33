"""The stand-in engine's reports tell how things stood `lagMs` ago, however seldom it is asked."""

import random

from simulation import platform_engine as core
from testtools import TestCase
from testtools.matchers import Equals

LAG_MS, LOAD_MS = 200.0, 300.0
SIZES = core.Sizes(
    slots=2,
    cacheTokens=1000,
    roomMb=1e6,
    places=8,
    loadMs=LOAD_MS,
    step_ms=2.0,
    read_per_ms=40.0,
    event_tokens=4,
    warmup_ms=0.0,
    warmupPerS=0.0,
    models={name: (1.0, ["a1"]) for name in ("m1", "m2", "m3")},
    insertMb=1.0,
    lagMs=LAG_MS,
)


def engine():
    return core.Engine("e", "s", "z", "", SIZES, core.Store(100.0, 100), 0.0, False)


def order(e, now_ms, verb, model):
    told = {"order": verb, "parcel": model, "holder": "h", "fenceNumber": 1}
    return core.order(e, now_ms, told, "e")


def asked(number, model="m1"):
    return core.Asked(f"r{number}", "POST", "/", "h", "e", model, "", (), 10, 1, 5, 0, 1e12)


def seen(told):
    names = tuple(parcel["name"] for parcel in told["parcels"])
    return names, told["busy"], told["callSeq"], told["queued"], told["inTransit"]


class Reports(TestCase):
    # It told how things stood when it was last asked, seconds before: the placer took a model
    # that it had unloaded for found again, and callers were sent to an engine without it.
    def test_what_changed_long_ago_is_told_by_the_first_report_after(self):
        e = engine()
        order(e, 0.0, "load", "m1")
        core.report(e, 400.0)
        order(e, 500.0, "unload", "m1")
        order(e, 510.0, "load", "m2")
        told = core.report(e, 5000.0)
        self.assertThat(seen(told), Equals((("m2",), False, 3, 0, 0)))

    def test_what_changed_just_now_is_not_told_yet(self):
        e = engine()
        order(e, 1000.0, "load", "m1")
        for at_ms, expected in (
            (1000.0 + LAG_MS - 1, ((), False, 0)),
            (1000.0 + LAG_MS, ((), True, 1)),
            (1000.0 + LOAD_MS + LAG_MS - 1, ((), True, 1)),
            (1000.0 + LOAD_MS + LAG_MS, (("m1",), False, 1)),
        ):
            self.assertThat(seen(core.report(e, at_ms))[:3], Equals(expected), at_ms)

    def test_beside_a_plain_model(self):
        """Every state with its time, kept for good; each report is the one of lagMs ago."""
        for seed in range(40):
            rng, e, now_ms, count = random.Random(seed), engine(), 0.0, 0
            running, plain = [], [(0.0, ((), False, 0, 0, 0))]

            def state(e=e):
                names = tuple(sorted(e.items))
                return names, bool(e.order), e.callSeq, len(e.waiting), len(e.running)

            def keep(at_ms, plain=plain):
                plain.append((at_ms, state()))

            for _ in range(200):
                now_ms += rng.choice((1.0, 30.0, 250.0, 2000.0))
                if e.order and now_ms >= e.done_ms:
                    done_ms, unload = e.done_ms, e.order[0] == "unload"
                    core._advance(e, now_ms)
                    keep(now_ms if unload else done_ms)
                what = rng.randrange(5)
                if what == 0:
                    order(e, now_ms, rng.choice(("load", "unload")), rng.choice(("m1", "m2")))
                elif what == 1:
                    count += 1
                    one = asked(count)
                    if core.admit(e, now_ms, one) == 0:
                        keep(now_ms)
                        if core.may_start(e, one):
                            core.start(e, now_ms, one)
                            running.append(one)
                        else:
                            core.finish(e, now_ms, one)
                elif what == 2 and running:
                    core.finish(e, now_ms, running.pop())
                keep(now_ms)
                told = seen(core.report(e, now_ms))
                keep(now_ms)
                expected = [s for at_ms, s in plain if at_ms <= now_ms - LAG_MS]
                self.assertThat(told, Equals((expected or [plain[0][1]])[-1]), f"{seed} {now_ms}")
