"""The shards whose lease this node holds: shard 0 with the configuration, and placers for the
others.

A node learns from the feed that it holds a lease, recovers the shard's state in chunks, and
serves the shard until the feed names another holder, or until the lease may have expired by the
node's own clock.
"""

from dataclasses import dataclass, field

from configuration import registry as registries
from placement import counter_commands, engine_list_polling, placer
from placement import ledger as ledgers
from placement.state import Placer
from replication import shard_log, state_machine
from transport import failures
from transport.effects import DumpLog, LogLine, Reply, Send
from transport.messages import LeaseRelease

__all__ = [
    "ShardOwnership",
    "ConfigurationOwner",
    "tick",
    "on_durable",
    "on_chunk",
    "on_refused",
    "on_call_result",
    "command",
    "lease_end",
    "release_all",
    "flush",
    "has_pending_answers",
]

# Part of the time until the leader revokes a lease; the holder treats it as expired after that.
_LEASE_RATIO = 0.8


@dataclass
class ConfigurationOwner:
    """State of shard 0: the layout and the engine list in `registry`, the shard's log in `held`.

    `roster` is the state of polling the platform's engine list."""

    shard: int
    epoch: int
    held: shard_log.ShardLog
    registry: registries.Registry
    roster: engine_list_polling.EngineListPoll = field(
        default_factory=engine_list_polling.EngineListPoll
    )


@dataclass
class ShardOwnership:
    """The held shards, by number, in `owners`: a ConfigurationOwner for shard 0, a Placer for
    any other.  `shards` is the number of all shards, `zones` names the configured zones, and
    `reader` reads the configuration in the platform's form.  `provider` is the address of the
    platform's list of engines, or empty."""

    shards: int
    zones: tuple
    reader: object = None
    provider: str = ""
    owners: dict = field(default_factory=dict)


def lease_end(follower, times):
    """Time on this node's clock from which it must treat its leases as expired."""
    return follower.direct_ms + _LEASE_RATIO * times.revoke_ms


def _apply_assignments(ownership, card, log_state):
    """Start to own the shards whose lease this node got; drop those that another node got."""
    effects = []
    for shard, assignment in log_state.shards.items():
        is_ours = assignment.holder == card.name and assignment.incarnation == card.incarnation
        owner = ownership.owners.get(shard)
        if is_ours and (owner is None or owner.epoch < assignment.epoch):
            held = shard_log.ShardLog(shard, assignment.epoch)
            ownership.owners[shard] = (
                ConfigurationOwner(
                    shard,
                    assignment.epoch,
                    held,
                    registries.Registry(zonesKnown=ownership.zones, reader=ownership.reader),
                )
                if shard == 0
                else Placer(
                    shard,
                    assignment.epoch,
                    held,
                    held_before=assignment.previous_holder == card.name,
                )
            )
            effects.append(LogLine("holds", {"shard": shard, "epoch": assignment.epoch}, True))
        elif owner and not is_ours and assignment.epoch > owner.epoch:
            del ownership.owners[shard]
            effects.append(LogLine("held", {"shard": shard, "epoch": owner.epoch}, True))
    return effects


def tick(ownership, now_ms, card, follower, cluster, times, settings, leader, report_lost):
    """Follow changes of leases, recover new shards, and run the placers and checkpoints."""
    effects = _apply_assignments(ownership, card, follower.state)
    end_ms = lease_end(follower, times)
    for owner in ownership.owners.values():
        held = owner.held
        if not held.ready:
            if leader and now_ms - held.requested_ms > times.ping_ms:
                effects += shard_log.request_recovery(held, now_ms, card, leader)
            continue
        shard_log.resend(held, now_ms, follower.term, 2 * times.ping_ms)
        if owner.shard == 0:
            if now_ms < end_ms and not held.lost:
                effects += engine_list_polling.tick(
                    owner.roster, now_ms, settings, ownership.provider, f"0|{owner.epoch}"
                )
        else:
            effects += placer.tick(
                owner, now_ms, cluster.registry, ownership.shards, settings, end_ms, report_lost
            )
        confirmed_at = state_machine.shard_of(follower.state, owner.shard).checkpoint_at
        effects += _checkpoint(owner, now_ms, card, settings, leader, confirmed_at, times)
    return effects + flush(ownership, now_ms, card, leader)


def flush(ownership, now_ms, card, leader):
    """Send the records that were appended to the shards' logs since the last call."""
    effects = []
    for owner in ownership.owners.values():
        if not owner.held.lost:
            effects += shard_log.flush(owner.held, now_ms, card, leader)
    return effects


def _checkpoint(owner, now_ms, card, settings, leader, confirmed_at, times):
    """Prepare a checkpoint of a shard if one is due, and send the one that is in progress."""
    held = owner.held
    if shard_log.checkpoint_due(held, settings.checkpoint_records):
        body = registries.dump(owner.registry) if owner.shard == 0 else ledgers.dump(owner.ledger)
        shard_log.prepare_checkpoint(held, body)
    retry_ms = times.revoke_ms
    return shard_log.send_checkpoint(held, now_ms, card, leader, confirmed_at, retry_ms)


def on_chunk(ownership, now_ms, sender, message, settings):
    """Handle a chunk of a shard's state; after the last one the shard is recovered."""
    owner = ownership.owners.get(message.shard)
    if owner is None:
        return []
    effects, complete = shard_log.on_chunk(owner.held, now_ms, sender, message)
    if not complete:
        return effects
    if owner.shard == 0:
        owner.registry = registries.load(owner.held.checkpoint, ownership.zones, ownership.reader)
        registries.replay(owner.registry, owner.held.records)
    else:
        placer.on_taken_over(owner, now_ms, settings)
    owner.held.checkpoint, owner.held.records = b"", []
    facts = {"shard": message.shard, "epoch": message.epoch, "next": owner.held.next}
    return effects + [LogLine("recovered", facts, True)]


def on_durable(ownership, now_ms, message, follower, cluster, times, settings):
    """Records of held shards are durable: run the continuations that waited for them."""
    effects = []
    for position in message.positions:
        owner = ownership.owners.get(position.shard)
        if owner is None:
            continue
        for continuation in shard_log.on_durable(owner.held, position, now_ms):
            if owner.shard == 0:
                effects.append(Reply(continuation[1], continuation[2]))
            else:
                effects += placer.on_durable(
                    owner,
                    now_ms,
                    continuation,
                    cluster.registry,
                    settings,
                    lease_end(follower, times),
                )
    return effects


def on_refused(ownership, message):
    """Handle the leader's refusal of records of a shard."""
    owner = ownership.owners.get(message.shard)
    if owner is not None:
        shard_log.on_refused(owner.held, message)
    return []


def on_call_result(ownership, now_ms, result, cluster, settings):
    """A call to an engine or to the provider ended; its id names the shard and the epoch."""
    shard, epoch, id_ = result.id.split("|", 2)
    owner = ownership.owners.get(int(shard))
    if owner is None or owner.epoch != int(epoch):
        return []
    if owner.shard == 0:
        return _apply_engine_list(ownership, now_ms, owner, id_, result, settings)
    return placer.on_called(
        owner, now_ms, id_, result, cluster.registry, ownership.shards, settings
    )


def _apply_engine_list(ownership, now_ms, owner, id_, result, settings):
    """Apply a page of the platform's engine list: changes are appended to the log."""
    effects, changed = engine_list_polling.on_called(
        owner.roster,
        now_ms,
        id_,
        result,
        owner.registry,
        settings,
        ownership.provider,
        f"0|{owner.epoch}",
    )
    if changed and not owner.held.lost:
        record, _, failure = registries.decide(owner.registry, "engines", {"engines": changed})
        if record is not None:
            registries.apply(owner.registry, record)
            shard_log.append(owner.held, record)
        elif failure is not None:
            effects.append(LogLine("engine-list-invalid", failures.as_json(failure)))
    return effects


def command(ownership, now_ms, token, shard, verb, body, follower, cluster, times, settings):
    """Handle a command for a shard; NoHolder unless this node holds it and has recovered it."""
    owner = ownership.owners.get(shard)
    if (
        owner is None
        or not owner.held.ready
        or owner.held.lost
        or (now_ms >= lease_end(follower, times))
    ):
        return [Reply(token, failures.NoHolder(1000, shard))]
    try:
        if shard != 0:
            return counter_commands.on_command(
                owner, now_ms, token, verb, body, cluster.registry, settings
            )
        record, answer, failure = registries.decide(owner.registry, verb, body)
    except Exception as error:
        return _report_defect(token, verb, error)
    answer = failure if failure is not None else answer
    continuation = ("reply", token, answer)
    if record is not None:
        registries.apply(owner.registry, record)
        shard_log.append(owner.held, record, continuation)
        return []
    return [Reply(token, answer)] if shard_log.barrier(owner.held, continuation) else []


def _report_defect(token, verb, error):
    """Report an exception raised by a command.  It was raised while the command was checked, so
    no record was appended.  The node keeps running: if it stopped, the command would be resent to
    the next holder and crash it too."""
    failure = failures.CoreBroke(verb, repr(error))
    return [
        Reply(token, failure),
        LogLine("not-judged", failures.as_json(failure)),
        DumpLog(failure.tag),
    ]


def release_all(ownership, card, leader, successors):
    """Release all leases in an orderly stop, naming successors.  This node sends nothing for
    these shards from then on; the next holder waits until calls in flight have ended."""
    effects = []
    for shard, owner in sorted(ownership.owners.items()):
        owner.held.released = True
        successor = successors[shard % len(successors)] if successors else ""
        if leader:
            effects.append(Send(leader, LeaseRelease(card.name, shard, owner.epoch, successor)))
    return effects


def has_pending_answers(ownership):
    """Whether a response is pending until a change of the configuration is durable."""
    return any(
        owner.held.waiting
        for owner in ownership.owners.values()
        if isinstance(owner, ConfigurationOwner)
    )
