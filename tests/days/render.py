"""Writes the own days of trouble for one deployment of the users' bench.

    python tests/days/render.py zatacka-brno FOLDER

The templates beside this file name no deployment: `{model_service}` and the like
stand for its services, classes of requests and zones. The files written into
FOLDER are played one by one with the bench's verb `run`.
"""

import pathlib
import sys
from dataclasses import dataclass, fields

TEMPLATES = pathlib.Path(__file__).resolve().parent

# Troubles that only the grown deployments know.
GROWN_FAULTS = (
    '{ at = 4, kind = "srv_lying_health", share = 0.1, for_s = 6.0, how = "reset" }',
    '{ at = 12, kind = "srv_flap", share = 0.1, gap_s = 1.2, for_s = 6.0 }',
    '{ at = 20, kind = "idle_race", share = 0.5, x = 300.0, for_s = 6.0 }',
)
LOSSY_FAULT = '{ at = 6, kind = "lossy", x = 0.03, for_s = 12.0, zone = "{first_zone}" }'
# A sixth of a grown deployment, with all of its core machines.
SMALL_TWIN = "small = { shrink = 6.0 }"


@dataclass(frozen=True)
class Deployment:
    """The names that a day of one deployment uses, and what may come there."""

    model_service: str
    plain_service: str
    patient_class: str
    first_zone: str
    other_zone: str
    grown: bool = False
    lossy: bool = False


ZATACKA = ("navigator-llm", "tile-app", "eta-refresh", "brno-hall-a", "jihlava-hall")
BYGGESAG = ("sagsassistent", "kvitteringer", "permit-draft", "aarhus-hal", "vejle-hal")

DEPLOYMENTS = {
    "zatacka-brno": Deployment(*ZATACKA),
    "byggesag-nord": Deployment(*BYGGESAG),
    "zatacka-brno-grown": Deployment(*ZATACKA, grown=True, lossy=True),
    "byggesag-nord-grown": Deployment(*BYGGESAG, grown=True),
}


def templates() -> list[pathlib.Path]:
    """The templates of all days."""
    return sorted(TEMPLATES.glob("*.toml"))


def render(template: str, deployment: Deployment) -> str:
    """The day of a template, for one deployment."""
    text = with_faults(template, extra_faults(template, deployment))
    if deployment.grown:
        text = text.replace("closing = ", f"{SMALL_TWIN}\nclosing = ", 1)
    for field in fields(Deployment):
        text = text.replace("{" + field.name + "}", str(getattr(deployment, field.name)))
    return text


def extra_faults(template: str, deployment: Deployment) -> list[str]:
    """The faults that a deployment adds to a day of this kind."""
    name = day_name(template)
    added: list[str] = []
    if deployment.grown and name.startswith(("p5", "mix")):
        added += GROWN_FAULTS
    if deployment.lossy and name.startswith(("p1", "p5", "mix")):
        added.append(LOSSY_FAULT)
    return added


def day_name(template: str) -> str:
    """The name that a template gives its day."""
    return template.split('name = "', 1)[1].split('"', 1)[0]


def with_faults(template: str, added: list[str]) -> str:
    """The template with further entries at the head of its faults."""
    lines = "".join(f"  {fault},\n" for fault in added)
    return template.replace("faults = [\n", "faults = [\n" + lines, 1)


def main() -> int:
    """Writes each day of the named deployment."""
    deployment, folder = DEPLOYMENTS[sys.argv[1]], pathlib.Path(sys.argv[2])
    folder.mkdir(parents=True, exist_ok=True)
    for path in templates():
        (folder / path.name).write_text(render(path.read_text(), deployment))
    return 0


if __name__ == "__main__":
    sys.exit(main())
