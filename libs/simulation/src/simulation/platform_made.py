"""Made-up names, configurations and changes in the platform's form, from a seed."""

import copy

__all__ = [
    "word",
    "route",
    "models_service",
    "plain_service",
    "tenant",
    "configuration",
    "with_tenants",
    "patch",
    "tenants_patch",
    "patched",
]

_FIRST, _SECOND = "bdfgjklmnprstvz", "aeiou"


def word(rng, syllables=3):
    """A name that no other call is likely to make."""
    return (
        "".join(rng.choice(_FIRST) + rng.choice(_SECOND) for _ in range(syllables))
        + f"{rng.randrange(16**4):04x}"
    )


def route(rng, name, services, kind=None):
    kind = kind or rng.choice(["safe", "unsafe", "stream"])
    made = {
        "name": name,
        "host": f"{word(rng, 2)}.example",
        "pathPrefix": f"/{word(rng)}/",
        "kind": kind,
        "transitLimitMs": rng.randrange(1000, 9000),
        "targetMs": rng.randrange(100, 900),
        "classOfMail": rng.randrange(10),
        "tries": rng.randrange(1, 4),
        "split": [
            {"service": s, "share": rng.randrange(1, 100)}
            for s in rng.sample(services, rng.randrange(1, len(services) + 1))
        ],
    }
    if kind == "stream":
        made.update(pinned=True, resumable=rng.random() < 0.5, gapTargetMs=rng.randrange(200, 900))
    if rng.random() < 0.3:
        made["note"] = {"of": [word(rng), None, True, 1.5]}
    return made


def plain_service(rng, name):
    return {
        "name": name,
        "healthPath": f"/{word(rng, 2)}",
        "connectionCap": 110,
        "protocol": "h1",
        "tls": False,
        "warmupS": 0.0,
        "warmupPerS": 0.0,
    }


def models_service(rng, name, models=4, inserts=2):
    parcels = [
        {
            "name": word(rng),
            "weightMb": rng.choice([65000.5, 72000.0]),
            "loadS": 0.6,
            "inserts": rng.randrange(inserts + 1),
            "insertMb": 12.0,
        }
        for _ in range(models)
    ]
    return {
        "name": name,
        "healthPath": "/health",
        "connectionCap": 240,
        "protocol": "h1",
        "tls": False,
        "warmupS": 5.0,
        "warmupPerS": 10.0,
        "engine": {
            "slots": 32,
            "cacheTokens": 200000,
            "parcels": parcels,
            "weightMb": 220000.0,
            "insertSlots": 8,
            "loadPerS": 10.0,
        },
    }


def tenant(rng, name, keys=2):
    made = {"name": name, "keys": [word(rng, 8) for _ in range(keys)], "ratePerS": 0}
    if rng.random() < 0.5:
        made.update(ratePerS=rng.randrange(1, 99), burst=rng.randrange(99))
    if rng.random() < 0.5:
        made["classOfMail"] = rng.randrange(10)
    return made


def configuration(rng, edition, routes=4):
    """A whole good configuration."""
    services = [models_service(rng, word(rng)), plain_service(rng, word(rng))]
    names = [s["name"] for s in services]
    return {
        "edition": edition,
        "services": services,
        "routes": [route(rng, f"r-{word(rng)}", names) for _ in range(routes)],
        "limits": {
            "headerMaxBytes": 16384,
            "bodyMaxBytes": 4194304,
            "headerWaitMs": 3000,
            "idleLimitMs": 15000,
        },
    }


def with_tenants(rng, whole, tenants=4):
    """A whole configuration with so many tenants."""
    return {**whole, "senders": [tenant(rng, f"t-{word(rng)}") for _ in range(tenants)]}


def patch(rng, whole, edition):
    """A good change of some items of `whole`."""
    services = [s["name"] for s in whole["services"]]
    routes = list(whole["routes"])
    gone = rng.sample([r["name"] for r in routes], rng.randrange(min(2, len(routes)) + 1))
    upsert = []
    for old in routes:
        if rng.random() < 0.3:
            upsert.append({**copy.deepcopy(old), "transitLimitMs": rng.randrange(1, 9000)})
    upsert += [route(rng, f"r-{word(rng)}", services) for _ in range(rng.randrange(3))]
    return {"edition": edition, "upsert": {"routes": upsert}, "remove": {"routes": gone}}


def tenants_patch(rng, whole, edition):
    """A good change of some tenants: one gives its keys to another or loses them, one may
    go, and one is new."""
    tenants = copy.deepcopy(whole.get("senders", []))
    rng.shuffle(tenants)
    upsert, gone = [tenant(rng, f"t-{word(rng)}")], []
    if len(tenants) > 2:
        giver, taker = tenants[0], tenants[1]
        if rng.random() < 0.5:
            taker["keys"] += giver["keys"]
        giver["keys"] = []
        upsert += [giver, taker]
        gone = [tenants[2]["name"]] if rng.random() < 0.3 else []
    return {"edition": edition, "upsert": {"senders": upsert}, "remove": {"senders": gone}}


def patched(whole, change):
    """What a configuration is after a change; slow and plain: lists searched by name."""
    made = copy.deepcopy(whole)
    made["edition"] = change["edition"]
    for part, names in change.get("remove", {}).items():
        if part in made:
            made[part] = [item for item in made[part] if item["name"] not in names]
    for part, items in change.get("upsert", {}).items():
        made.setdefault(part, [])
        for item in items:
            at = [n for n, old in enumerate(made[part]) if old["name"] == item["name"]]
            if at:
                made[part][at[0]] = copy.deepcopy(item)
            else:
                made[part].append(copy.deepcopy(item))
    return made
