"""Differences between what was sent, run and answered, each named by the rule it breaks."""

from dataclasses import dataclass

__all__ = ["Difference", "differences"]

_PROMISES = (408, 421, 429, 503)


@dataclass(frozen=True)
class Difference:
    """One thing that must not be; `id` is the try's."""

    rule: str
    id: str
    detail: str


def differences(ledger):
    """All Differences of a Ledger whose callers and engines have ended."""
    sent = {s.id: s for s in ledger.sent}
    runs = {}
    for run in ledger.ran:
        runs.setdefault(run.id, []).append(run)
    found = [d for run in ledger.ran for d in _of_run(run, sent.get(run.id))]
    for id_, several in runs.items():
        if id_ in sent and not sent[id_].repeatable and len(several) > 1:
            engines = ", ".join(run.engine for run in several)
            found.append(Difference("TWICE", id_, engines))
    for answer in ledger.answered:
        found += _of_answer(answer, sent.get(answer.id), runs.get(answer.id, ()))
    return found


def _of_run(run, sent):
    """What is wrong with one run."""
    if sent is None:
        return [Difference("UNASKED", run.id, f"no caller sent {run.method} {run.target}")]
    found = []
    if not sent.whole:
        found.append(Difference("UNASKED", run.id, "its caller never sent its last byte"))
    for name in ("method", "target", "fields", "body"):
        ours, theirs = getattr(run, name), getattr(sent, name)
        if ours != theirs:
            found.append(Difference("UNASKED", run.id, f"{name}: {theirs!r} ran as {ours!r}"))
    if run.service not in sent.services:
        found.append(Difference("ROUTE", run.id, f"{run.service} ran it"))
    return found


def _of_answer(answer, sent, runs):
    """What is wrong with one answer."""
    if sent is None:
        return [Difference("MIXED", answer.id, "an answer to a try that nobody made")]
    found = []
    if answer.others:
        found.append(Difference("MIXED", answer.id, "bytes of another request's answer"))
    if 200 <= answer.status < 300 and answer.whole and not (answer.good and answer.stamped):
        found.append(Difference("MIXED", answer.id, "a success that is not its engine's whole"))
    if answer.status in _PROMISES and runs and not sent.repeatable:
        found.append(Difference("REFUSED", answer.id, f"{answer.status} and run"))
    return found
