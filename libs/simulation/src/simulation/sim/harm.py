"""What faults do to our own processes, their disks and the network, and how
each heals.  `victims` are the nodes excused while it lasts."""

import dataclasses

from transport import events as e

from simulation.sim import disk as disks
from simulation.sim import engines
from simulation.sim import world as worlds

__all__ = [
    "kill",
    "terminate",
    "add_depot",
    "lose",
    "freeze",
    "cut",
    "cut_off",
    "cut_one_way",
    "cut_leader_holder",
    "lone_leader",
    "freeze_ordering",
    "split",
    "disk",
    "fading_disk",
    "flap",
    "zone",
    "after_yes",
    "both_in_turn",
    "clock",
    "swap_seeds",
]


def _host(run, name):
    return run.world.hosts[name]


def kill(run, name, for_ms, power=False, wipe=False, move=False):
    host, world = _host(run, name), run.world
    if host.node is None:
        return
    worlds.kill(world, host, power)
    run.disturbed(name, for_ms)
    if wipe:
        host.disk = disks.SimDisk(slowMs=host.disk.slowMs) if host.disk else None
    if move:
        run.move(host)
    worlds.after(world, for_ms, lambda: _back(run, host))


def _back(run, host):
    if host.node is None:
        worlds.reseed(run.world, host)
        worlds.boot(run.world, host)


def terminate(run, name, back_ms=None):
    """SIGTERM: the machine ends in order, and starts again after `back_ms`, if at all."""
    host, world = _host(run, name), run.world
    life, leave_ms = host.life, host.node.times.leave_ms
    worlds.post(world, host, e.Shutdown())

    def ended():
        if host.life == life and host.node is not None:
            worlds.kill(world, host)

    worlds.after(world, leave_ms + 1000.0, ended)
    if back_ms is not None:
        _start_again(run, host, life, back_ms)


def _start_again(run, host, life, back_ms):
    """Look now and then whether the machine ended, and start it `back_ms` after."""

    def look():
        if host.life == life:
            worlds.after(run.world, 20.0, look)
        else:
            worlds.after(run.world, back_ms, lambda: _back(run, host))

    look()


def add_depot(run, name, like):
    """A new machine with an empty disk, at an address of its own, in a zone of `like`."""
    old = _host(run, like)
    run.moved += 1
    address = f"10.8.{run.moved // 200}.{run.moved % 200 + 1}:7400"
    running = [h for h in run.world.hosts.values() if h.disk is not None and h.node is not None]
    seeds = tuple(host.config.address for host in running)
    config = dataclasses.replace(
        old.config, name=name, address=address, listen=address, seeds=seeds[:3], founds=False
    )
    host = worlds.Host(name, config, disks.SimDisk(), clock_ms=run.world.random.random() * 1e6)
    run.world.hosts[name] = host
    worlds.boot(run.world, host)
    return host


def lose(run, name):
    """A machine is gone for good, without a word."""
    host = _host(run, name)
    if host.node is not None:
        worlds.kill(run.world, host, power=True)
    run.world.by_address.pop(host.config.address, None)


def zone(run, name, for_ms, wipe=False, back=True):
    """A zone loses power: depot, counters and engines at once; with `wipe` its
    machines return empty, at new addresses."""
    for host in [h for h in run.world.hosts.values() if h.config.zone == name]:
        kill(run, host.name, for_ms if back else 1e9, power=True, wipe=wipe, move=wipe)
    for engine in [x for x in run.world.engines.values() if x.zone == name and x.up]:
        engines.stop(run.world, run.history, engine)
        if back:
            worlds.after(
                run.world, for_ms, lambda e=engine: engines.restart(run.world, run.history, e)
            )


def after_yes(harmed):
    """Strikes at the very moment the next change is acknowledged."""

    def fault(run, name, for_ms):
        run.after_yes.append(lambda: harmed(run, name or run.leader() or "d0", for_ms))
        run.change_layout(0)

    return fault


def both_in_turn(run, name, for_ms):
    """The leader's disk is lost just after a yes, and once it is replaced, the
    disk of whoever leads then, just after the next."""

    def second():
        run.after_yes.append(lambda: kill(run, run.leader() or "d0", 500.0, wipe=True, move=True))
        run.change_layout(0)

    run.after_yes.append(lambda: kill(run, run.leader() or "d0", 500.0, wipe=True, move=True))
    run.change_layout(0)
    worlds.after(run.world, 12000.0, second)


def flap(run, name, for_ms):
    """Whoever leads is killed, again and again; each is back soon."""
    for number in range(4):
        worlds.after(run.world, 2500.0 * number, lambda: kill(run, run.leader() or "d0", 700.0))


def freeze(run, name, for_ms):
    host = _host(run, name)
    worlds.freeze(host)
    run.disturbed(name, for_ms)
    run.frozen_spans.append((name, run.world.now_ms, run.world.now_ms + for_ms))
    worlds.after(run.world, for_ms, lambda: worlds.thaw(run.world, host))


def cut(run, pairs, for_ms, victims):
    for pair in pairs:
        worlds.cut(run.world, *pair)
    for name in victims:
        run.disturbed(name, for_ms)
    worlds.after(run.world, for_ms, lambda: [run.world.cuts.discard(p) for p in pairs])


def _both(some, others):
    return [p for a in some for b in others for p in ((a, b), (b, a))]


def cut_off(run, name, for_ms):
    others = [n for n in list(run.world.hosts) + list(run.world.engines) if n != name]
    cut(run, _both([name], others), for_ms, [name])


def cut_one_way(run, name, for_ms):
    cut(run, [(name, o) for o in run.world.hosts if o != name], for_ms, [name])


def cut_leader_holder(run, name, for_ms):
    """The log node's words no longer reach one holder, while the holder's do."""
    cut(run, [(run.leader() or "d0", name)], for_ms, [name])


def lone_leader(run, name, for_ms):
    """The leader loses the other depots, while counters still reach it."""
    depots = [n for n in run.world.hosts if n[0] == "d" and n != name]
    cut(run, _both([name], depots), for_ms, [name])


def freeze_ordering(run, name, for_ms):
    """The holder of a shard freezes between logging an order and sending it."""
    run.ordering[int(name)] = lambda holder: freeze(run, holder, for_ms)


def split(run, name, for_ms):
    """The core in two: one depot, and half of the counters, from the rest."""
    names = sorted(run.world.hosts)
    part = {name} | {n for i, n in enumerate(names) if n.startswith("c") and i % 2}
    cut(run, _both(sorted(part), [n for n in names if n not in part]), for_ms, sorted(part))
    run.small_part = part


def disk(run, name, for_ms, **how):
    disk = _host(run, name).disk
    for key, value in how.items():
        setattr(disk, key, value)
    run.disturbed(name, for_ms)

    def mend():
        disk.slowMs, disk.stalled = 1.0, False

    worlds.after(run.world, for_ms, mend)


def fading_disk(run, name, for_ms):
    """A disk that gets slower and slower, then is itself again."""
    host = _host(run, name)
    run.disturbed(name, for_ms)
    for number in range(8):
        worlds.after(
            run.world,
            for_ms * number / 8,
            lambda n=number: setattr(host.disk, "slowMs", 3.0 * 2**n),
        )
    worlds.after(run.world, for_ms, lambda: setattr(host.disk, "slowMs", 1.0))


def clock(run, name, for_ms):
    """The wall clock of a machine jumps an hour on, and later two back."""
    host = _host(run, name)
    host.wallMs += 3.6e6
    worlds.after(run.world, for_ms, lambda: setattr(host, "wallMs", host.wallMs - 7.2e6))


def swap_seeds(run, name, for_ms):
    """Other machines are the seeds now, and a node starts knowing only those."""
    hosts = [h for n, h in sorted(run.world.hosts.items()) if n != name and h.node]
    seeds = tuple(h.config.address for h in run.world.random.sample(hosts, min(3, len(hosts))))
    host = _host(run, name)
    host.config = dataclasses.replace(host.config, seeds=seeds or host.config.seeds)
    kill(run, name, for_ms)
