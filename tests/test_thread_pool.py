"""The thread pool: every call is run once, on no more threads than allowed, and idle threads
beyond the limit end."""

import threading
import time
from concurrent.futures import wait
from unittest import mock

from pulleyhitch.thread_pool import ThreadPool
from testtools import TestCase
from testtools.matchers import Equals, LessThan

WAIT_S = 30
IDLE_LIMIT = 3
NO_THREAD = RuntimeError("can't start new thread")


class ThreadPoolTestCase(TestCase):
    def burst(self, pool, size):
        """Run `size` calls side by side; returns their threads."""
        barrier = threading.Barrier(size)

        def call():
            barrier.wait(WAIT_S)
            return threading.current_thread()

        futures = [pool.submit(call) for _ in range(size)]
        return {future.result(WAIT_S) for future in futures}


class Calls(ThreadPoolTestCase):
    def test_results_and_errors_go_to_the_future(self):
        pool = ThreadPool(2, "test")
        self.assertThat(pool.submit(pow, 2, 5).result(WAIT_S), Equals(32))
        self.assertRaises(ZeroDivisionError, pool.submit(divmod, 1, 0).result, WAIT_S)
        self.assertThat(pool.submit(pow, 2, 6).result(WAIT_S), Equals(64))

    def test_a_cancelled_call_is_not_run(self):
        pool, release, run = ThreadPool(1, "test"), threading.Event(), []
        first = pool.submit(release.wait, WAIT_S)
        second = pool.submit(run.append, 2)
        third = pool.submit(run.append, 3)
        second.cancel()
        release.set()
        wait([first, third], WAIT_S)
        self.assertThat(run, Equals([3]))

    def test_calls_beyond_the_size_wait_in_order(self):
        pool, release, run = ThreadPool(1, "test"), threading.Event(), []
        futures = [pool.submit(release.wait, WAIT_S)]
        futures += [pool.submit(run.append, number) for number in range(100)]
        self.assertThat(run, Equals([]))
        release.set()
        wait(futures, WAIT_S)
        self.assertThat(run, Equals(list(range(100))))

    def test_as_many_calls_as_the_size_run_side_by_side(self):
        pool = ThreadPool(20, "test")
        for _ in range(3):
            self.assertThat(len(self.burst(pool, 20)), Equals(20))

    def test_an_idle_thread_is_used_again(self):
        pool = ThreadPool(20, "test")
        threads = set()
        for _ in range(50):
            future = pool.submit(threading.current_thread)
            threads.add(future.result(WAIT_S))
        # A call may be submitted before the thread of the last one is idle.
        self.assertThat(len(threads), LessThan(20))

    def test_a_call_is_run_though_no_further_thread_can_be_started(self):
        pool, release = ThreadPool(2, "test"), threading.Event()
        first = pool.submit(release.wait, WAIT_S)
        with mock.patch.object(threading.Thread, "start", side_effect=NO_THREAD):
            second = pool.submit(pow, 2, 5)
        release.set()
        self.assertThat((first.result(WAIT_S), second.result(WAIT_S)), Equals((True, 32)))

    def test_a_call_that_no_thread_can_run_is_not_accepted(self):
        pool = ThreadPool(2, "test")
        with mock.patch.object(threading.Thread, "start", side_effect=NO_THREAD):
            self.assertRaises(RuntimeError, pool.submit, pow, 2, 5)
        self.assertThat(pool.submit(pow, 2, 6).result(WAIT_S), Equals(64))


class IdleThreads(ThreadPoolTestCase):
    def test_those_beyond_the_limit_end_and_later_calls_are_run(self):
        pool = ThreadPool(20, "test", IDLE_LIMIT)
        for _ in range(3):
            threads = self.burst(pool, 20)
            end_s = time.monotonic() + WAIT_S
            while sum(thread.is_alive() for thread in threads) > IDLE_LIMIT:
                self.assertThat(time.monotonic(), LessThan(end_s))
        self.assertThat(pool.submit(pow, 2, 5).result(WAIT_S), Equals(32))

    def test_no_call_is_lost_while_threads_end(self):
        for idle_limit in range(4):
            pool, lock, run = ThreadPool(4, "test", idle_limit), threading.Lock(), []

            def call(number, lock=lock, run=run):
                with lock:
                    run.append(number)

            def submit(first, pool=pool, call=call):
                for number in range(first, first + 500):
                    pool.submit(call, number).result(WAIT_S)

            submitters = [threading.Thread(target=submit, args=(500 * n,)) for n in range(6)]
            for submitter in submitters:
                submitter.start()
            for submitter in submitters:
                submitter.join(WAIT_S)
            self.assertThat(sorted(run), Equals(list(range(3000))))
