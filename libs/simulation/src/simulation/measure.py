"""Measurements on real processes, as paired runs and counts.

`batches` drives the log as a counter would, over real pipes, and reads how
many records went into each synced batch.  `spread` times an acknowledged
change to every counter; `leader_loss` the gap in durable appends when the log
node is killed.
"""

import queue
import shutil
import tempfile
import time

import pycurl
from membership import greetings
from replication import follower, shard_log
from transport import messages as m
from transport.connections import Connections

from simulation import deployments
from simulation.fleet import Fleet, free_ports

__all__ = ["batches", "spread", "leader_loss", "window", "comeback"]


_RECORD = b'{"k":"measure","pad":"' + b"x" * 180 + b'"}'


def _up(folder, **config):
    fleet = Fleet(deployments.SMALL, folder, **config)
    for name in fleet.depots:
        fleet.start(name)
    try:
        fleet.until(lambda: fleet.call("d0", "GET", "/operator/fleet")[0] == 200)
    except TimeoutError:
        fleet.stop_all()
        raise
    return fleet


def _leader(fleet):
    by_address = {a: n for n, a in fleet.address.items()}

    def found():
        code, seen = fleet.call(
            next(n for n in fleet.depots if n in fleet.running), "GET", "/operator/believes"
        )
        return by_address.get(seen.get("leader")) if code == 200 else None

    return fleet.until(found)


class _Driver:
    """A counter that does nothing but append; `run` is the one public method."""

    def __init__(self, fleet):
        address = f"127.0.0.1:{free_ports(1)[0]}"
        self._card = m.NodeInfo("driver", "counter", "north", address, address, "driver.1")
        self._got = queue.SimpleQueue()
        self._pipes = Connections(
            address,
            lambda: m.Gossip(self._card, False, (), greetings.NO_GROUP),
            lambda _, message: self._got.put(message),
            lambda *_: None,
            2000,
        )
        self._leader = fleet.address[_leader(fleet)]
        self._follow = follower.Follow()
        self._held = {}

    def run(self, shards, seconds):
        """Append one record a shard at a time; returns records made durable."""
        done, end_s, asked_ms = 0, None, -1e9
        while end_s is None or time.monotonic() < end_s:
            now_ms = time.monotonic() * 1000
            if now_ms - asked_ms > 200:
                asked_ms = now_ms
                ask = follower.ask(self._follow, now_ms, self._card, self._leader)
                self._pipes.send(ask.to, ask.message)
            try:
                done += self._take(self._got.get(timeout=0.05), shards)
            except queue.Empty:
                pass
            if end_s is None and self._ready(shards, now_ms):
                end_s, done = time.monotonic() + seconds, 0
                for held in list(self._held.values())[:shards]:
                    self._append(held)
        return done

    def _ready(self, shards, now_ms):
        for shard, part in self._follow.state.shards.items():
            held = self._held.get(shard)
            if part.holder == "driver" and held is None:
                held = self._held[shard] = shard_log.ShardLog(shard, part.epoch)
            if held and not held.ready and now_ms - held.asked_ms > 500:
                self._out(shard_log.recover(held, now_ms, self._card, self._leader))
        return sum(h.ready for h in self._held.values()) == 8

    def _append(self, held):
        shard_log.append(held, _RECORD)
        self._out(shard_log.flush(held, time.monotonic() * 1000, self._card, self._leader))

    def _out(self, effects):
        for effect in effects:
            self._pipes.send(effect.to, effect.message)

    def _take(self, message, shards):
        now_ms = time.monotonic() * 1000
        if isinstance(message, m.FeedEntries):
            follower.on_items(self._follow, message)
        elif isinstance(message, m.FeedChunk):
            effects, _ = follower.on_chunk(self._follow, now_ms, "driver", self._leader, message)
            self._out(effects)
        elif isinstance(message, m.ShardChunk):
            held = self._held[message.shard]
            self._out(shard_log.on_chunk(held, now_ms, self._leader, message)[0])
        elif isinstance(message, m.DurablePositions):
            moved = 0
            for place in message.places:
                held = self._held[place.shard]
                before = held.durable
                shard_log.on_durable(held, place, 0.0)
                moved += held.durable - before
                if not held.unacked:
                    self._append(held)
            return moved
        return 0


def _drive(shards, seconds, group_wait):
    folder = tempfile.mkdtemp()
    fleet = _up(folder, group_wait=group_wait)
    try:
        driver = _Driver(fleet)
        driver.run(shards, 0.5)
        lead = _leader(fleet)
        before = fleet.call(lead, "GET", "/operator/believes")[1]["depot"]
        done = driver.run(shards, seconds)
        after = fleet.call(lead, "GET", "/operator/believes")[1]["depot"]
        batched = after["batches"] - before["batches"]
        return {
            "records": done,
            "perBatch": (after["records"] - before["records"]) / max(1, batched),
            "flushMs": after["flushMs"],
        }
    finally:
        fleet.stop_all()
        shutil.rmtree(folder, ignore_errors=True)


def batches(rounds, seconds, say=print):
    """Paired rounds: one shard, eight shards, eight without the group wait."""
    ratios = []
    for number in range(rounds):
        one, many, bare = (
            _drive(1, seconds, True),
            _drive(8, seconds, True),
            _drive(8, seconds, False),
        )
        ratios.append(many["records"] / max(1, bare["records"]))
        say(
            f"round {number}: records a batch {one['perBatch']:.2f} (1 shard), "
            f"{many['perBatch']:.2f} (8), {bare['perBatch']:.2f} (8, no group wait); "
            f"records, 8 over 1: {many['records'] / max(1, one['records']):.2f}; "
            f"group wait on over off: {ratios[-1]:.2f}"
        )
    return ratios


def spread(fleet, runs, say=print):
    """From an acknowledged change to each counter following it, in ms."""
    worst = []
    d = fleet.deployment
    for number in range(runs):
        code, told = fleet.call(
            "c0",
            "POST",
            "/operator/layout",
            {
                "partner": d.name,
                "partial": True,
                "section": {"routes": {f"s{number}": {"service": d.service}}},
            },
            [f"X-Partner: {d.name}"],
        )
        if code != 200:
            continue
        start_s = time.monotonic()
        for node in fleet.counters:
            fleet.until(
                lambda n=node: (
                    fleet.call(n, "GET", "/operator/believes")[1].get("stamp", 0) >= told["stamp"]
                )
            )
        worst.append((time.monotonic() - start_s) * 1000)
    worst.sort()
    say(
        f"{len(worst)} changes to {len(fleet.counters)} counters: all seen following after "
        f"{worst[len(worst) // 2]:.0f} ms (median), {worst[-1]:.0f} ms (worst), the asking "
        "of each in turn included"
    )
    return worst


def leader_loss(fleet, runs, say=print):
    """From killing the log node to the next acknowledged change, in ms."""
    gaps = []
    for _ in range(runs):
        lead = _leader(fleet)
        fleet.kill(lead)
        start_s = time.monotonic()

        def changed():
            return (
                fleet.call(
                    "c1",
                    "POST",
                    "/operator/zone",
                    {"zone": fleet.deployment.zones[0], "evacuated": False},
                    timeout_ms=15000,
                )[0]
                == 200
            )

        fleet.until(changed)
        gaps.append((time.monotonic() - start_s) * 1000)
        fleet.start(lead)
        fleet.until(lambda: fleet.call(lead, "GET", "/operator/read/zones")[0] == 200)
    gaps.sort()
    say(
        f"{len(gaps)} kills of the log node: next durable append after "
        f"{gaps[len(gaps) // 2]:.0f} ms (median), {gaps[-1]:.0f} ms (worst)"
    )
    return gaps


def window(fleet, runs, say=print):
    """From the last check before an order to its first byte sent, in ms: what a
    freeze would have to hit for a non-fencing engine to hear a late order."""
    port = fleet.engine_port["e0"]
    took = []
    for _ in range(runs):
        checked_s = time.monotonic()
        curl = pycurl.Curl()
        curl.setopt(pycurl.URL, f"http://127.0.0.1:{port}/report")
        curl.setopt(pycurl.WRITEFUNCTION, lambda data: None)
        before_s = time.monotonic() - checked_s
        curl.perform()
        took.append((before_s + curl.getinfo(pycurl.PRETRANSFER_TIME)) * 1000)
        curl.close()
    took.sort()
    say(
        f"{runs} calls: from check to first byte {took[runs // 2]:.2f} ms (median), "
        f"{took[-1]:.2f} ms (worst)"
    )
    return took


def comeback(fleet, runs, say=print):
    """Every process of ours killed and started again on kept disks: until a
    change is acknowledged and each counter has served a lookup, in ms."""
    d, nodes, took = fleet.deployment, fleet.depots + fleet.counters, []
    for number in range(runs):
        for name in nodes:
            fleet.kill(name)
        start_s = time.monotonic()
        for name in nodes:
            fleet.start(name)
        fleet.until(
            lambda: (
                fleet.call(
                    "c0",
                    "POST",
                    "/operator/zone",
                    {"zone": d.zones[0], "evacuated": number % 2 == 0},
                    timeout_ms=3000,
                )[0]
                == 200
            )
        )
        for node in fleet.counters:
            fleet.until(
                lambda n=node: (
                    fleet.call(n, "GET", f"/v1/lookup/{d.plain_service}/x", timeout_ms=2000)[0]
                    == 200
                )
            )
        took.append((time.monotonic() - start_s) * 1000)
    took.sort()
    say(
        f"{runs} returns of {len(nodes)} processes: service back after "
        f"{took[runs // 2]:.0f} ms (median), {took[-1]:.0f} ms (worst)"
    )
    return took
