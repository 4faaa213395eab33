"""Real processes before engines that reset, fall silent, answer twice or for another
request: each answer is its caller's own, and what may not be repeated runs once."""

import random
import tempfile
from concurrent.futures import ThreadPoolExecutor

import test_response_integrity
from simulation import platform_callers as callers
from simulation import platform_made as made
from simulation.platform_engine import Sizes, Store
from simulation.platform_faults import Fault
from simulation.platform_fleet import PlatformFleet
from simulation.platform_operator import Operator
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan

SEED = 31
REQUESTS = 240
CALLERS = 12
FAULTY = 0.3
TRIES = 3


class Faults(TestCase):
    def setUp(self):
        super().setUp()
        self.rng = random.Random(SEED)
        self.fleet = fleet = PlatformFleet(tempfile.mkdtemp(), SEED)
        self.addCleanup(fleet.stop_all)
        self.whole = self.configuration()
        service = self.whole["services"][0]["name"]
        sizes = Sizes(8, 20000, 0.0, 0, 0.0, 2.0, 40.0, 4, 0.0, 0.0, {}, 0.0)
        for number in range(6):
            fleet.engine(service, sizes, Store(1.0, 1), True, fleet.zones[number % 3])
        fleet.start_all()
        operator = Operator(fleet)
        self.assertThat(operator.send("PUT", "/config", self.whole, 0), Equals(200))
        fleet.until(lambda: len(fleet.ready()) == 3)

    def configuration(self):
        service = made.plain_service(self.rng, made.word(self.rng))
        routes = []
        for name in sorted(test_response_integrity.ROUTES):
            kind = test_response_integrity.ROUTES[name]["kind"]
            route = made.route(self.rng, f"r-{name}", [service["name"]], kind)
            route.update(transitLimitMs=20000, targetMs=400, tries=TRIES)
            if kind == "stream":
                route.update(resumable=name == "resumable", gapTargetMs=600, pinned=False)
            routes.append(route)
        limits = {"headerMaxBytes": 16384, "bodyMaxBytes": 4194304}
        return {"edition": 3, "routes": routes, "services": [service], "limits": limits}

    def misbehave(self):
        """Every engine's next requests: some good, the rest with each fault in turn."""
        for door in self.fleet.platform.doors.values():
            faults = list(Fault) * 4
            self.rng.shuffle(faults)
            for fault in faults:
                while self.rng.random() > FAULTY:
                    door.faults.append(None)
                door.faults.append(fault)

    def request(self, number):
        route = self.whole["routes"][number % len(self.whole["routes"])]
        kind = route["name"].partition("-")[2]
        headers = () if kind in ("safe", "unsafe") else ("X-Tokens: 10,16",)
        path = f"{route['pathPrefix']}{number}?q"
        return callers.Request(kind, route["host"], path, b"%d" % number, headers, events=4)

    def asked(self, request):
        rng = random.Random(request.path)
        return request, callers.ask(self.fleet.ready, request, 10.0, rng)

    def test_faults(self):
        self.misbehave()
        requests = [self.request(number) for number in range(REQUESTS)]
        with ThreadPoolExecutor(CALLERS) as pool:
            asked = list(pool.map(self.asked, requests))
        runs = {}
        for engine in self.fleet.platform.engines():
            for _, run in engine.ran:
                runs[run.id] = runs.get(run.id, 0) + 1
        served = 0
        for request, tries in asked:
            for answer in tries:
                count = runs.get(answer.id, 0)
                said = test_response_integrity.find_violation(request, answer, count)
                self.assertThat(said, Equals(""), f"{request} {answer} {count}")
                most = TRIES if request.kind in ("safe", "resumable") else 1
                self.assertTrue(count <= most, f"{request} {answer} {count}")
            served += tries[-1].status == 200 and tries[-1].whole
        self.assertThat(set(runs) - {a.id for _, tries in asked for a in tries}, Equals(set()))
        self.assertThat(served, GreaterThan(REQUESTS // 2))
        played = [f for door in self.fleet.platform.doors.values() for f in door.faults]
        self.assertThat(len(list(Fault)) * 24 - len([f for f in played if f]), GreaterThan(40))
