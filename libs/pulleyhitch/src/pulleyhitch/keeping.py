"""The shards this node holds: shard 0's office, and placers for the others.

A node learns from the feed that a grant names it, recovers the shard in
pages, and keeps it until the feed names another holder or its own clock says
that the grant may have ended.
"""

from dataclasses import dataclass, field

from dispatch import ledger as ledgers
from dispatch import placer
from dispatch import roster as rosters
from dispatch.state import Placer
from logbook import holder
from manifest import registry as registries
from waybill import failures
from waybill.effects import Note, Reply, Send
from waybill.messages import Release

__all__ = [
    "Keeping",
    "Office",
    "tick",
    "on_durable",
    "on_page",
    "on_refused",
    "on_called",
    "command",
    "grant_end",
    "release_all",
    "flush",
]

_ENDS = 0.8


@dataclass
class Office:
    """Shard 0: the layout and the engine list."""

    shard: int
    epoch: int
    held: holder.Held
    registry: registries.Registry
    roster: rosters.Roster = field(default_factory=rosters.Roster)


@dataclass
class Keeping:
    shards: int
    zones: tuple
    reader: object = None
    provider: str = ""
    keepers: dict = field(default_factory=dict)


def grant_end(follow, times):
    """When our grants must be taken as ended, on our own clock."""
    return follow.directMs + _ENDS * times.revokeMs


def _notice(k, card, book):
    effects = []
    for shard, part in book.shards.items():
        mine = part.holder == card.name and part.incarnation == card.incarnation
        kept = k.keepers.get(shard)
        if mine and (kept is None or kept.epoch < part.epoch):
            held = holder.Held(shard, part.epoch)
            k.keepers[shard] = (
                Office(
                    shard,
                    part.epoch,
                    held,
                    registries.Registry(zonesKnown=k.zones, reader=k.reader),
                )
                if shard == 0
                else Placer(shard, part.epoch, held, own=part.before == card.name)
            )
            effects.append(Note("holds", {"shard": shard, "epoch": part.epoch}))
        elif kept and not mine and part.epoch > kept.epoch:
            del k.keepers[shard]
            effects.append(Note("held", {"shard": shard, "epoch": kept.epoch}))
    return effects


def tick(k, nowMs, card, follow, floor, times, terms, leader, lost):
    effects = _notice(k, card, follow.book)
    endMs = grant_end(follow, times)
    for kept in k.keepers.values():
        held = kept.held
        if not held.ready:
            if leader and nowMs - held.askedMs > times.pingMs:
                effects += holder.recover(held, nowMs, card, leader)
            continue
        holder.resend(held, nowMs, follow.term, 2 * times.pingMs)
        if kept.shard == 0:
            if nowMs < endMs and not held.lost:
                effects += rosters.tick(kept.roster, nowMs, terms, k.provider, f"0|{kept.epoch}")
        else:
            effects += placer.tick(kept, nowMs, floor.registry, k.shards, terms, endMs, lost)
        effects += _checkpoint(kept, card, terms, leader)
    return effects + flush(k, nowMs, card, leader)


def flush(k, nowMs, card, leader):
    effects = []
    for kept in k.keepers.values():
        if not kept.held.lost:
            effects += holder.flush(kept.held, nowMs, card, leader)
    return effects


def _checkpoint(kept, card, terms, leader):
    held = kept.held
    if not leader or held.unacked or (held.durable - held.checkpointAt < terms.checkpointRecords):
        return []
    held.checkpointAt = held.durable
    body = registries.dump(kept.registry) if kept.shard == 0 else ledgers.dump(kept.ledger)
    return holder.offer_checkpoint(held, card, leader, body)


def on_page(k, nowMs, page, terms):
    kept = k.keepers.get(page.shard)
    if kept is None or not holder.on_page(kept.held, page):
        return []
    if kept.shard == 0:
        kept.registry = registries.load(kept.held.checkpoint, k.zones, k.reader)
        for record in kept.held.pages:
            registries.apply(kept.registry, record)
    else:
        placer.taken_over(kept, nowMs, terms)
    kept.held.pages = []
    return [Note("recovered", {"shard": page.shard, "epoch": page.epoch, "next": kept.held.next})]


def on_durable(k, nowMs, message, follow, floor, times, terms):
    effects = []
    for place in message.places:
        kept = k.keepers.get(place.shard)
        if kept is None:
            continue
        for then in holder.on_durable(kept.held, place, nowMs):
            if kept.shard == 0:
                effects.append(Reply(then[1], then[2]))
            else:
                effects += placer.on_durable(
                    kept, nowMs, then, floor.registry, terms, grant_end(follow, times)
                )
    return effects


def on_refused(k, message):
    kept = k.keepers.get(message.shard)
    if kept is not None:
        holder.on_refused(kept.held, message)
    return []


def on_called(k, nowMs, called, floor, terms):
    shard, epoch, id_ = called.id.split("|", 2)
    kept = k.keepers.get(int(shard))
    if kept is None or kept.epoch != int(epoch):
        return []
    if kept.shard == 0:
        return _listed(k, nowMs, kept, id_, called, terms)
    return placer.on_called(kept, nowMs, id_, called, floor.registry, k.shards, terms)


def _listed(k, nowMs, kept, id_, called, terms):
    """A page of the platform's list came: what has changed is logged for all."""
    effects, changed = rosters.on_called(
        kept.roster, nowMs, id_, called, kept.registry, terms, k.provider, f"0|{kept.epoch}"
    )
    if changed and not kept.held.lost:
        record, _, failure = registries.decide(kept.registry, "engines", {"engines": changed})
        if record is not None:
            registries.apply(kept.registry, record)
            holder.append(kept.held, record)
        elif failure is not None:
            effects.append(Note("list-wrong", failures.as_json(failure)))
    return effects


def command(k, nowMs, token, shard, verb, body, follow, floor, times, terms):
    """A command for a shard that this node is thought to hold."""
    kept = k.keepers.get(shard)
    if kept is None or not kept.held.ready or kept.held.lost or (nowMs >= grant_end(follow, times)):
        return [Reply(token, failures.NoHolder(1000, shard))]
    if shard != 0:
        return placer.command(kept, nowMs, token, verb, body, floor.registry, terms)
    record, answer, failure = registries.decide(kept.registry, verb, body)
    answer = failure if failure is not None else answer
    then = ("reply", token, answer)
    if record is not None:
        registries.apply(kept.registry, record)
        holder.append(kept.held, record, then)
        return []
    return [Reply(token, answer)] if holder.barrier(kept.held, then) else []


def release_all(k, card, leader, successors):
    """On an orderly stop: give grants back, naming who should follow.  From here
    on nothing is sent for these shards; the next holder waits out our calls."""
    effects = []
    for shard, kept in sorted(k.keepers.items()):
        kept.held.lost = True
        successor = successors[shard % len(successors)] if successors else ""
        if leader:
            effects.append(Send(leader, Release(card.name, shard, kept.epoch, successor)))
    return effects
