"""A stand-in model engine: requests in `slots`, one order at a time, reports, no faults of its own.

It follows PROTOCOL.md: a request that names another engine, or a model that isn't present, gets
421 with `X-Not-Run`; while an order runs, requests that it concerns get 503 with `X-Not-Run`; an
order counts in `callSeq`; fences are checked.  An order to load beyond `weightMb` or `insertSlots`
is noted in `breaches`.
"""

import json
import threading
import time

from standins.http import Door

_EVENT_PAUSE_S = 0.02
_REPORT_LAG_S = 0.2


class Engine:
    """One engine.  `parcels`: model -> (weightMb, loadS, number of inserts, insertMb)."""

    def __init__(self, id_, service, zone, address, parcels, weight_mb, slots, held, record):
        self.id, self.service, self.zone, self.address = id_, service, zone, address
        self.parcels, self.weight_mb, self.slots = parcels, weight_mb, slots
        self.insert_slots = 8
        self.items = {model: set() for model in held}
        self.seen = set(held)
        self.order, self.done_s = None, 0.0
        self.call_seq, self.fence = 0, -1
        self.running, self.breaches, self.ran, self.cut = [], [], [], []
        self.fallen_s = None
        self.giver = ""
        self.history = []
        self._record = record
        self._changed = threading.Condition()
        self._door = Door(address, self._handle)

    def close(self):
        """Stop listening."""
        self._door.close()

    def gone_since(self, at_s):
        """Whether the engine had fallen by this time."""
        return self.fallen_s is not None and self.fallen_s <= at_s

    def listing(self):
        """The engine's entry in the platform's list."""
        return {
            "id": self.id,
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "edition": "v1",
            "slots": self.slots,
            "state": "open",
            "warmupLeftMs": 0,
            "leg": "both",
            "parcels": self._told_parcels(),
        }

    def _told_parcels(self):
        return [
            {"name": model, "edition": 1, "inserts": sorted(inserts)}
            for model, inserts in sorted(self.items.items())
        ]

    def used_mb(self):
        """The room that the weights on this engine take, with a load that is under way."""
        used = sum(self._size(model, inserts) for model, inserts in self.items.items())
        if self.order and self.order[0] == "load" and not self.order[2]:
            used += self.parcels[self.order[1]][0]
        return used

    def _size(self, model, inserts):
        return self.parcels[model][0] + self.parcels[model][3] * len(inserts)

    def _advance(self):
        now_s = time.monotonic()
        if self.order is None or now_s < self.done_s:
            return
        verb, model, insert = self.order
        if verb == "unload" and any(m == model for m in self.running):
            return
        self.order = None
        if verb == "load" and insert:
            self.items[model].add(insert)
        elif verb == "load":
            self.items[model] = set()
            self.seen.add(model)
        elif insert:
            self.items[model].discard(insert)
        else:
            self.items.pop(model, None)

    def _handle(self, request):
        if self.fallen_s is not None:
            raise ConnectionAbortedError
        if request.path == "/report":
            return self._report(request)
        if request.path == "/order":
            return self._take_order(request)
        if request.path == "/health":
            return request.reply(200, [("X-Engine", self.id), ("X-Warmup-Ms", "0")])
        return self._run(request)

    def _report(self, request):
        with self._changed:
            self._advance()
            now_s = time.monotonic()
            told = {
                "leg": "both",
                "parcels": self._told_parcels(),
                "busy": self.order is not None,
                "callSeq": self.call_seq,
                "queued": 0,
                "inTransit": len(self.running),
                "cacheUsed": 0,
                "cacheCapacity": 200000,
                "handles": 0,
            }
            self.history.append((now_s, told))
            while len(self.history) > 1 and self.history[1][0] <= now_s - _REPORT_LAG_S:
                self.history.pop(0)
            told = self.history[0][1]
        request.reply(200, [("Content-Type", "application/json")], json.dumps(told).encode())

    def _take_order(self, request):
        with self._changed:
            self._advance()
            code = self._judge_order(request)
            if self.fallen_s is not None:
                raise ConnectionAbortedError
            if code == 202:
                self.history.clear()
            self._record(f"order {self.id} {code} {request.body.decode()}")
        request.reply(code)

    def _judge_order(self, request):
        if request.headers.get("X-Expect-Engine", self.id) != self.id:
            return 421
        told = json.loads(request.body)
        verb, model, insert = told.get("order"), told.get("parcel"), told.get("insert", "")
        fence = told.get("fenceNumber")
        if verb not in ("load", "unload") or model not in self.parcels or not told.get("holder"):
            return 400
        if not isinstance(fence, int) or (insert and model not in self.items):
            return 400
        if fence < self.fence:
            return 412
        self.fence, self.giver = fence, told["holder"]
        if self.order is not None or told.get("expectedCount", self.call_seq) != self.call_seq:
            return 409
        present = model in self.items and (not insert or insert in self.items[model])
        if present == (verb == "load"):
            return 200
        self._start_order(verb, model, insert)
        return 202

    def _start_order(self, verb, model, insert):
        self.call_seq += 1
        self.order = (verb, model, insert)
        load_s = self.parcels[model][1] * (0.6 if model in self.seen else 1.0)
        self.done_s = time.monotonic() + (0.01 if insert or verb == "unload" else load_s)
        if verb != "load":
            return
        places = sum(len(inserts) for inserts in self.items.values()) + bool(insert)
        used_mb = self.used_mb() + (self.parcels[model][3] if insert else 0)
        if used_mb > self.weight_mb or places > self.insert_slots:
            breach = f"{self.id}: {verb} {model} {insert}: {used_mb:.0f} of {self.weight_mb:.0f} MB"
            self.breaches.append(breach)
            self._record("beyond room " + breach)
            self.fallen_s = time.monotonic()

    def _run(self, request):
        try_id = request.headers.get("X-Try-Id", "")
        model, _, insert = request.headers.get("X-Parcel", "").partition("/")
        head = [("X-Try-Id", try_id)]
        with self._changed:
            self._advance()
            code = self._admission(request, model, insert)
            if not code:
                self.running.append(model)
                self.ran.append((time.monotonic(), try_id, model))
        if code:
            return request.reply(code, [*head, ("X-Not-Run", "refused")])
        try:
            self._answer(request, head)
        finally:
            with self._changed:
                self.running.remove(model)

    def _admission(self, request, model, insert):
        """0 if the request runs, else the status of its refusal."""
        if request.headers.get("X-Expect-Engine", self.id) != self.id:
            return 421
        if not request.headers.get("X-Try-Id"):
            return 400
        if self.order is not None and self.order[1] == model and self.order[2] in ("", insert):
            return 503
        if model not in self.items or (insert and insert not in self.items[model]):
            return 421
        return 503 if len(self.running) >= self.slots else 0

    def _answer(self, request, head):
        most = int(request.headers.get("X-Tokens", "0,30").partition(",")[2] or 30)
        first = int(request.headers.get("Last-Event-Id", 0))
        count = max(1, -(-most // 6))
        request.begin(200, [*head, ("X-Postmark", f"{self.id}.{most}"), ("X-Weight-Versions", "1")])
        for number in range(first + 1, count + 1):
            request.chunk(f"id: {number}\ndata: {head[0][1]}:{number}:{count}\n\n".encode())
            time.sleep(_EVENT_PAUSE_S)
            if self.fallen_s is not None:
                self.cut.append(head[0][1])
                self._record(f"cut {head[0][1]} at {self.id}, which has fallen")
                raise ConnectionAbortedError
        request.end()
