"""Shares of threads and the queue for them, against plain lists."""

import random
from types import SimpleNamespace

from pulleyhitch import admission
from pulleyhitch.thread_shares import ThreadQueue, ThreadShares
from testtools import TestCase
from testtools.matchers import Equals

CLASSES = sorted(admission.USABLE_SHARES)
SEEDS = 30
STEPS = 300


class Shares(TestCase):
    def test_a_thread_is_taken_from_the_first_usable_share_that_has_one(self):
        for seed in range(SEEDS):
            rng, shares = random.Random(seed), ThreadShares(16)
            free = [n for n, size in admission.thread_shares(16).items() for _ in range(size)]
            taken = []
            for _ in range(STEPS):
                if taken and rng.random() < 0.45:
                    share = taken.pop(rng.randrange(len(taken)))
                    shares.release(share)
                    free.append(share)
                else:
                    usable = admission.USABLE_SHARES[wanted := rng.choice(CLASSES)]
                    share = next((name for name in usable if name in free), None)
                    self.assertThat(shares.acquire(wanted), Equals(share), f"seed {seed}")
                    if share is not None:
                        free.remove(share)
                        taken.append(share)
                self.assertThat(shares.all_free(), Equals(not taken))


class Queue(TestCase):
    def test_callers_leave_by_priority_then_age(self):
        for seed in range(SEEDS):
            rng, queue, model = random.Random(seed), ThreadQueue(4), []
            for number in range(STEPS):
                step = rng.random()
                if step < 0.6:
                    added = SimpleNamespace(request_class=rng.choice(CLASSES), since_s=number)
                    model.append(added)
                    model.sort(key=self.order)
                    refused = model.pop() if len(model) > 8 else None
                    self.assertThat(queue.add(added), Equals(refused))
                elif step < 0.8:
                    threads, started = rng.randrange(4), []
                    queue.start_each(lambda c, s=started, n=threads: len(s) < n and not s.append(c))
                    self.assertThat(started, Equals(model[:threads]))
                    model = model[threads:]
                else:
                    until_s = number - rng.randrange(20)
                    overdue = [caller for caller in model if caller.since_s < until_s]
                    model = [caller for caller in model if caller not in overdue]
                    self.assertThat(queue.remove_since(until_s), Equals(overdue))
                self.assertThat(len(queue), Equals(len(model)), f"seed {seed}")

    @staticmethod
    def order(caller):
        return admission.PRIORITIES[caller.request_class], caller.since_s
