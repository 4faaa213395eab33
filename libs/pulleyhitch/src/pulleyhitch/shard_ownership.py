"""The shards this node holds: shard 0's office, and placers for the others.

A node learns from the feed that a grant names it, recovers the shard in
pages, and keeps it until the feed names another holder or its own clock says
that the grant may have ended.
"""

from dataclasses import dataclass, field

from configuration import registry as registries
from placement import ledger as ledgers
from placement import placer
from placement import roster as rosters
from placement.state import Placer
from replication import shard_log, state_machine
from transport import failures
from transport.effects import Dump, Note, Reply, Send
from transport.messages import Release

__all__ = [
    "ShardOwnership",
    "ConfigurationOwner",
    "tick",
    "on_durable",
    "on_chunk",
    "on_refused",
    "on_called",
    "command",
    "lease_end",
    "release_all",
    "flush",
    "answers_waiting",
]

_ENDS = 0.8


@dataclass
class ConfigurationOwner:
    """Shard 0: the layout and the engine list."""

    shard: int
    epoch: int
    held: shard_log.ShardLog
    registry: registries.Registry
    roster: rosters.Roster = field(default_factory=rosters.Roster)


@dataclass
class ShardOwnership:
    shards: int
    zones: tuple
    reader: object = None
    provider: str = ""
    owners: dict = field(default_factory=dict)


def lease_end(follower, times):
    """When our grants must be taken as ended, on our own clock."""
    return follower.direct_ms + _ENDS * times.revoke_ms


def _notice(ownership, card, book):
    effects = []
    for shard, part in book.shards.items():
        mine = part.holder == card.name and part.incarnation == card.incarnation
        kept = ownership.owners.get(shard)
        if mine and (kept is None or kept.epoch < part.epoch):
            held = shard_log.ShardLog(shard, part.epoch)
            ownership.owners[shard] = (
                ConfigurationOwner(
                    shard,
                    part.epoch,
                    held,
                    registries.Registry(zonesKnown=ownership.zones, reader=ownership.reader),
                )
                if shard == 0
                else Placer(shard, part.epoch, held, own=part.before == card.name)
            )
            effects.append(Note("holds", {"shard": shard, "epoch": part.epoch}, True))
        elif kept and not mine and part.epoch > kept.epoch:
            del ownership.owners[shard]
            effects.append(Note("held", {"shard": shard, "epoch": kept.epoch}, True))
    return effects


def tick(ownership, now_ms, card, follower, cluster, times, settings, leader, lost):
    effects = _notice(ownership, card, follower.state)
    end_ms = lease_end(follower, times)
    for kept in ownership.owners.values():
        held = kept.held
        if not held.ready:
            if leader and now_ms - held.asked_ms > times.ping_ms:
                effects += shard_log.recover(held, now_ms, card, leader)
            continue
        shard_log.resend(held, now_ms, follower.term, 2 * times.ping_ms)
        if kept.shard == 0:
            if now_ms < end_ms and not held.lost:
                effects += rosters.tick(
                    kept.roster, now_ms, settings, ownership.provider, f"0|{kept.epoch}"
                )
        else:
            effects += placer.tick(
                kept, now_ms, cluster.registry, ownership.shards, settings, end_ms, lost
            )
        confirmed_at = state_machine.shard_of(follower.state, kept.shard).checkpoint_at
        effects += _checkpoint(kept, now_ms, card, settings, leader, confirmed_at, times)
    return effects + flush(ownership, now_ms, card, leader)


def flush(ownership, now_ms, card, leader):
    effects = []
    for kept in ownership.owners.values():
        if not kept.held.lost:
            effects += shard_log.flush(kept.held, now_ms, card, leader)
    return effects


def _checkpoint(kept, now_ms, card, settings, leader, confirmed_at, times):
    held = kept.held
    if shard_log.checkpoint_due(held, settings.checkpoint_records):
        body = registries.dump(kept.registry) if kept.shard == 0 else ledgers.dump(kept.ledger)
        shard_log.prepare_checkpoint(held, body)
    retry_ms = times.revoke_ms
    return shard_log.offer_checkpoint(held, now_ms, card, leader, confirmed_at, retry_ms)


def on_chunk(ownership, now_ms, sender, message, settings):
    """A chunk of a shard that we were given came."""
    kept = ownership.owners.get(message.shard)
    if kept is None:
        return []
    effects, whole = shard_log.on_chunk(kept.held, now_ms, sender, message)
    if not whole:
        return effects
    if kept.shard == 0:
        kept.registry = registries.load(kept.held.checkpoint, ownership.zones, ownership.reader)
        registries.replay(kept.registry, kept.held.records)
    else:
        placer.taken_over(kept, now_ms, settings)
    kept.held.checkpoint, kept.held.records = b"", []
    facts = {"shard": message.shard, "epoch": message.epoch, "next": kept.held.next}
    return effects + [Note("recovered", facts, True)]


def on_durable(ownership, now_ms, message, follower, cluster, times, settings):
    effects = []
    for place in message.places:
        kept = ownership.owners.get(place.shard)
        if kept is None:
            continue
        for then in shard_log.on_durable(kept.held, place, now_ms):
            if kept.shard == 0:
                effects.append(Reply(then[1], then[2]))
            else:
                effects += placer.on_durable(
                    kept, now_ms, then, cluster.registry, settings, lease_end(follower, times)
                )
    return effects


def on_refused(ownership, message):
    kept = ownership.owners.get(message.shard)
    if kept is not None:
        shard_log.on_refused(kept.held, message)
    return []


def on_called(ownership, now_ms, called, cluster, settings):
    shard, epoch, id_ = called.id.split("|", 2)
    kept = ownership.owners.get(int(shard))
    if kept is None or kept.epoch != int(epoch):
        return []
    if kept.shard == 0:
        return _listed(ownership, now_ms, kept, id_, called, settings)
    return placer.on_called(kept, now_ms, id_, called, cluster.registry, ownership.shards, settings)


def _listed(ownership, now_ms, kept, id_, called, settings):
    """A page of the platform's list came: what has changed is logged for all."""
    effects, changed = rosters.on_called(
        kept.roster,
        now_ms,
        id_,
        called,
        kept.registry,
        settings,
        ownership.provider,
        f"0|{kept.epoch}",
    )
    if changed and not kept.held.lost:
        record, _, failure = registries.decide(kept.registry, "engines", {"engines": changed})
        if record is not None:
            registries.apply(kept.registry, record)
            shard_log.append(kept.held, record)
        elif failure is not None:
            effects.append(Note("list-wrong", failures.as_json(failure)))
    return effects


def command(ownership, now_ms, token, shard, verb, body, follower, cluster, times, settings):
    """A command for a shard that this node is thought to hold."""
    kept = ownership.owners.get(shard)
    if (
        kept is None
        or not kept.held.ready
        or kept.held.lost
        or (now_ms >= lease_end(follower, times))
    ):
        return [Reply(token, failures.NoHolder(1000, shard))]
    if shard != 0:
        return placer.command(kept, now_ms, token, verb, body, cluster.registry, settings)
    try:
        record, answer, failure = registries.decide(kept.registry, verb, body)
    except Exception as failed:
        return _not_judged(token, verb, failed)
    answer = failure if failure is not None else answer
    then = ("reply", token, answer)
    if record is not None:
        registries.apply(kept.registry, record)
        shard_log.append(kept.held, record, then)
        return []
    return [Reply(token, answer)] if shard_log.barrier(kept.held, then) else []


def _not_judged(token, verb, failed):
    """A defect of ours met an order that it can't judge.  Nothing has changed, and stopping
    would only hand the same order to the next holder, and end that one too."""
    failure = failures.CoreBroke(verb, repr(failed))
    return [Reply(token, failure), Note("not-judged", failures.as_json(failure)), Dump(failure.tag)]


def release_all(ownership, card, leader, successors):
    """On an orderly stop: give grants back, naming who should follow.  From here
    on nothing is sent for these shards; the next holder waits out our calls."""
    effects = []
    for shard, kept in sorted(ownership.owners.items()):
        kept.held.released = True
        successor = successors[shard % len(successors)] if successors else ""
        if leader:
            effects.append(Send(leader, Release(card.name, shard, kept.epoch, successor)))
    return effects


def answers_waiting(ownership):
    """Whether somebody waits until a change of the configuration is durable."""
    return any(
        owner.held.waiting
        for owner in ownership.owners.values()
        if isinstance(owner, ConfigurationOwner)
    )
