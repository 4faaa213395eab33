"""Configurations in the form of the users' pages."""

__all__ = ["LIMITS", "models_service", "plain_service", "route"]

LIMITS = {
    "headerMaxBytes": 16384,
    "bodyMaxBytes": 4194304,
    "headerWaitMs": 3000,
    "idleLimitMs": 15000,
}


def plain_service(name, warmup_s=0.0, warmup_per_s=0.0):
    return {
        "name": name,
        "healthPath": "/health",
        "connectionCap": 110,
        "protocol": "h1",
        "tls": False,
        "warmupS": warmup_s,
        "warmupPerS": warmup_per_s,
    }


def models_service(name, models, weight_mb, room_mb, load_s, loads_per_s):
    """A service whose engines hold models, all of one size."""
    parcels = [
        {
            "name": model,
            "weightMb": weight_mb,
            "loadS": load_s,
            "inserts": 0,
            "insertMb": 12.0,
        }
        for model in models
    ]
    return {
        **plain_service(name),
        "engine": {
            "slots": 32,
            "cacheTokens": 200000,
            "parcels": parcels,
            "weightMb": room_mb,
            "insertSlots": 8,
            "loadPerS": loads_per_s,
        },
    }


def route(name, prefix, kind, service, limit_ms=5000, target_ms=500):
    return {
        "name": name,
        "host": "ficu95.example",
        "pathPrefix": prefix,
        "kind": kind,
        "transitLimitMs": limit_ms,
        "targetMs": target_ms,
        "classOfMail": 0,
        "service": service,
        "tries": 2,
    }
