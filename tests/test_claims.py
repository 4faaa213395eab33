"""More callers of rare models than loads can serve: loads are begun for those who stay."""

from placement import demand_view
from placement.demand_view import Caller, View
from test_platform_asked import Floor
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

_ROOM_FOR_ONE_MB = 75000.0
_LOAD_S = 1.0
_PATIENCE_MS = 1800
_TICKS_PER_S = 25
_TICKS_BETWEEN = 8


class Crowd:
    """Callers who come one after the other for one model after the other, and leave when
    their patience is over: `served` and `came` count them."""

    def __init__(self, seed):
        self.floor = Floor(
            seed, models=12, engines=1, per_s=10.0, loadS=_LOAD_S, roomMb=_ROOM_FOR_ONE_MB
        )
        self.models = [item for item in self.floor.items if "/" not in item]
        self.waiting, self.came, self.served = {}, 0, 0

    def run(self, seconds):
        for tick in range(seconds * _TICKS_PER_S):
            if tick % _TICKS_BETWEEN == 0:
                self._come(self.models[self.came % len(self.models)])
            self._leave()
            self.floor.step()

    def _come(self, model):
        self.came += 1
        self.waiting[f"w{self.came}"] = (model, self.floor.scene.now_ms)
        hold = {
            "id": f"w{self.came}",
            "service": self.floor.name,
            "model": model,
            "adapter": "",
            "class": "rank1",
            "waitMs": _PATIENCE_MS,
            "node": "c0",
            "life": "l",
        }
        self.floor.scene.command("hold", hold)

    def _leave(self):
        for id_, (model, since_ms) in list(self.waiting.items()):
            up = self.floor.up(model)
            if up or self.floor.scene.now_ms - since_ms > _PATIENCE_MS:
                del self.waiting[id_]
                self.served += up
                why = "served" if up else "left"
                self.floor.scene.command("unhold", {"id": id_, "why": why})


class Claims(TestCase):
    # Guards against loads that all come too late under a crowd: the longer callers had
    # waited the sooner came their load, so each began shortly before its callers left.
    def test_loads_begin_for_callers_who_are_still_there_when_they_end(self):
        for seed in range(3):
            crowd = Crowd(seed)
            crowd.run(40)
            self.assertThat(crowd.floor.scene.engines["e0"].broken, Equals([]))
            self.assertThat(crowd.served, GreaterThan(crowd.came // 6), f"seed {seed}")

    def view(self, callers):
        floor = Floor(1, loadS=_LOAD_S)
        floor.scene.step()
        placer = floor.scene.p
        service = {"slots": 32}
        view = View(placer, 10000.0, floor.registry, floor.name, service, {}, {}, {})
        self.model = next(item for item in floor.items if "/" not in item)
        view.waiting[self.model] = callers
        return view

    def test_a_caller_who_leaves_before_the_load_is_done_counts_no_more_than_one_in_vain(self):
        stays = Caller(9000.0, 1.0, 10000.0 + 1000 * _LOAD_S)
        leaves = Caller(9000.0, 1.0, 9999.0 + 1000 * _LOAD_S)
        both = self.view([stays, leaves])
        self.assertThat(
            demand_view.claim(both, self.model),
            Equals(demand_view.claim(self.view([stays]), self.model)),
        )
        self.assertThat(
            demand_view.claim(self.view([leaves]), self.model),
            LessThan(demand_view.claim(self.view([stays]), self.model)),
        )

    def test_of_a_model_that_is_up_each_caller_counts(self):
        leaves = Caller(9000.0, 1.0, 10001.0)
        view = self.view([leaves])
        before = demand_view.claim(view, self.model)
        view.hosts[self.model] = ["e0"]
        self.assertThat(demand_view.claim(view, self.model), GreaterThan(before))
