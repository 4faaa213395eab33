"""What the checked engine serves: items, their sizes before and after a change, its room."""

from dataclasses import dataclass

from configuration import registry as registries
from placement import state

__all__ = ["ENGINE", "SERVICE", "Settings", "TERMS", "registry_of"]

ENGINE, SERVICE = "e0", "service"
# Every step takes longer than any bound, so that only the order of steps matters.
TERMS = state.PlacerSettings(
    call_timeout_ms=1.0, report_interval_ms=1.0, unreachable_ms=0.5, turnMs=0.0, lagMs=0.0
)
_PARTNER, _ZONE = "partner", "zone"


@dataclass(frozen=True)
class Settings:
    """`models`: (name, MB, number of adapters, of one place each); `resized_mb`: (name, MB) that
    a later configuration tells instead; `held`: models that the engine starts with; `counts`:
    whether it counts its orders.  One that doesn't can't refuse an order that comes late, so
    that none outlasts its call there."""

    models: tuple = (("a", 10, 0), ("b", 10, 0), ("c", 10, 0))
    resized_mb: tuple = ()
    room_mb: int = 20
    places: int = 1
    held: tuple = ("a",)
    counts: bool = True

    def items(self):
        """Models and adapters that may be ordered."""
        adapters = [
            f"{name}/a{number + 1}" for name, _, count in self.models for number in range(count)
        ]
        return [name for name, _, _ in self.models] + adapters


def registry_of(settings, resized):
    """The registry with the sizes from before or after the change."""
    registry = registries.Registry(zonesKnown=(_ZONE,))
    _decide(registry, "engines", {"engines": [_engine(settings)]})
    _decide(registry, "layout", _layout(settings, dict(settings.resized_mb) if resized else {}))
    return registry


def _engine(settings):
    return {
        "name": ENGINE,
        "state": "join",
        "service": SERVICE,
        "zone": _ZONE,
        "url": "http://127.0.0.1:1",
        "roomMb": settings.room_mb,
        "adapterPlaces": settings.places,
        "slots": 4,
    }


def _layout(settings, sizes):
    service = {
        "kind": "models",
        "shares": {_PARTNER: 1.0},
        "loads": {"atOnce": 4, "perMinute": 600},
    }
    models = {
        name: {
            "roomMb": sizes.get(name, mb),
            "adapters": {f"a{number + 1}": {"places": 1} for number in range(adapters)},
        }
        for name, mb, adapters in settings.models
    }
    section = {
        "services": {SERVICE: service},
        "weightStore": {"atOnce": 4, "perMinute": 600},
        "models": models,
        "wishes": {},
    }
    return {"partner": _PARTNER, "actor": _PARTNER, "section": section}


def _decide(registry, verb, body):
    record, _, failure = registries.decide(registry, verb, body)
    if failure is not None:
        raise ValueError(str(failure))
    registries.apply(registry, record)
