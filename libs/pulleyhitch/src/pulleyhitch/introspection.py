"""Read-only views of a node's state, for operators."""

from configuration import registry as registries
from membership import peer_table
from placement import ledger as ledgers
from placement import registry_view
from replication import depot as depots
from replication import follower as follows
from routing import tenants

from pulleyhitch import quota_requests

__all__ = ["node_state", "read", "fleet"]


def read(node, now_ms, body):
    """Result of a confirmed read: `what` in the body selects a part of the state, `name` filters
    it by partner, engine, service or wish."""
    part, name = body.get("what", "layout"), body.get("name", "")
    registry = node.cluster.registry
    head = {"stamp": registry.stamp, "place": node.follower.position}
    if part == "layout":
        return {
            **head,
            "partners": {
                partner: {
                    "stamp": registry.stamps.get(partner, 0),
                    "section": _without_keys(section),
                }
                for partner, section in sorted(registry.sections.items())
                if name in ("", partner)
            },
        }
    if part == "zones":
        return {
            **head,
            "evacuated": dict(sorted(registry.zones.items())),
            "known": sorted(registries.zone_names(registry)),
        }
    if part == "engines":
        return {**head, "engines": _engines(node, name)}
    if part == "written":
        return {**head, "document": registry.document}
    if part == "tenants":
        return {**head, "tenants": quota_requests.describe(node)}
    if part == "why":
        return {**head, "unmet": _unmet(node, name)}
    return {
        **head,
        "holds": {str(s): ledger.holds for s, ledger in sorted(node.cluster.ledgers.items())},
    }


def _without_keys(section):
    """A section of the layout, with its tenants' API keys replaced by fingerprints."""
    if "tenants" not in section:
        return section
    shown = {
        name: {**facts, "keys": [tenants.fingerprint_of_text(key) for key in facts["keys"]]}
        for name, facts in section["tenants"].items()
    }
    return {**section, "tenants": shown}


def _engines(node, name):
    shown_engines = []
    for engine in node.cluster.registry.engines.values():
        if name not in ("", engine["name"], engine["service"]):
            continue
        shard = registry_view.shard_of(engine["service"], node.config.shards)
        ledger = node.cluster.ledgers.get(shard, ledgers.Ledger())
        shown_engines.append(
            {
                **engine,
                "shard": shard,
                "incarnation": ledger.incarnations.get(engine["name"], ""),
                "usable": registry_view.usable(node.cluster.registry, engine),
                "items": {
                    i: {"verb": e["verb"], "state": e["state"]}
                    for i, e in sorted(ledger.engines.get(engine["name"], {}).items())
                },
            }
        )
    return sorted(shown_engines, key=lambda e: e["name"])


def _unmet(node, name):
    unmet_wishes = {}
    for ledger in node.cluster.ledgers.values():
        for service, unmet in ledger.unmet.items():
            for wish, why in unmet.items():
                if name in ("", wish, wish.partition(":")[2], service):
                    unmet_wishes[wish] = {"service": service, **why}
    return dict(sorted(unmet_wishes.items()))


def node_state(node, now_ms):
    """This node's current state, confirmed or not; for `compare` and diagnosis."""
    state = {
        "node": node.card.name,
        "role": node.card.role,
        "zone": node.card.zone,
        "place": node.follower.position,
        "term": node.follower.term,
        "ageMs": round(min(follows.age(node.follower, now_ms), 1e9)),
        "leader": node.peers.group.leader,
        "group": node.peers.group.group,
        "members": [vars(x) for x in node.peers.group.members],
        "stamp": node.cluster.registry.stamp,
        "stamps": dict(sorted(node.cluster.registry.stamps.items())),
        "zones": dict(sorted(node.cluster.registry.zones.items())),
        "fellows": {n: c.address for n, c in sorted(node.peers.cards.items())},
        "https": {n: c.http for n, c in sorted(node.peers.cards.items())},
        "watches": peer_table.watched(node.peers),
        "live": sorted(peer_table.live(node.peers, now_ms)),
        "holders": {
            str(s): {"holder": p.holder, "epoch": p.epoch}
            for s, p in sorted(node.follower.state.shards.items())
        },
        "holds": {
            str(s): {
                "epoch": owner.epoch,
                "ready": owner.held.ready,
                "lost": owner.held.lost,
                "next": owner.held.next,
                "durable": owner.held.durable,
            }
            for s, owner in sorted(node.ownership.owners.items())
        },
        "engines": {e["name"]: e["items"] for e in _engines(node, "")},
        "router": {
            "busy": dict(sorted(node.router.in_flight.items())),
            "tasks": len(node.router.tasks),
            "waiting": sum(t.waiting or t.awaiting_quota for t in node.router.tasks.values()),
            "served": node.router.served,
            "refused": node.router.refused,
            "retried": node.router.retried,
            "resumed": node.router.resumed,
        },
    }
    if node.depot is not None:
        state["depot"] = depots.describe(node.depot)
    return state


def fleet(node, now_ms):
    """The members of the log, the lease holders and all nodes that follow the feed, as known to
    this node, the log's leader."""
    depot = node.depot
    return {
        "term": depot.group.term,
        "commit": depot.group.commit,
        "members": [vars(x) for x in depots.group_card(depot.group).members],
        "holders": {
            str(s): {"holder": p.holder, "epoch": p.epoch}
            for s, p in sorted(depot.group.state.shards.items())
        },
        "nodes": {
            n: {
                "role": s.role,
                "address": s.address,
                "place": s.position,
                "silentMs": round(now_ms - s.last_contact_ms),
            }
            for n, s in sorted(depot.nodes.contacts.items())
        },
    }
