"""Thread pool whose idle threads end."""

import threading
from collections import deque
from concurrent.futures import Future
from dataclasses import dataclass

__all__ = ["ThreadPool"]

_IDLE_TIMEOUT_S = 5.0


@dataclass(frozen=True)
class _Call:
    """A submitted call, and the future of its result."""

    future: Future
    function: object
    arguments: tuple

    def run(self):
        if not self.future.set_running_or_notify_cancel():
            return
        try:
            result = self.function(*self.arguments)
        except BaseException as error:
            self.future.set_exception(error)
        else:
            self.future.set_result(result)


class ThreadPool:
    """Runs calls on up to `size` threads, in the order in which they were submitted.

    Unlike `concurrent.futures.ThreadPoolExecutor`, it ends a thread that has been idle for
    `idle_timeout_s`, so a burst of calls leaves no threads behind.  The threads are daemons
    and are named `name`-1, `name`-2 and so on."""

    def __init__(self, size, name, idle_timeout_s=_IDLE_TIMEOUT_S):
        self._size, self._name, self._idle_timeout_s = size, name, idle_timeout_s
        self._call_added = threading.Condition(threading.Lock())
        self._calls = deque()
        self._threads = self._idle_threads = self._started = 0

    def submit(self, function, *arguments):
        """Call `function(*arguments)` on a thread; returns the Future of its result.

        Raises RuntimeError if the pool has no thread and the system has none to give."""
        call = _Call(Future(), function, arguments)
        with self._call_added:
            if len(self._calls) < self._idle_threads:
                self._call_added.notify()
            elif self._threads < self._size:
                self._start_thread()
            self._calls.append(call)
        return call.future

    def _start_thread(self):
        name = f"{self._name}-{self._started + 1}"
        thread = threading.Thread(target=self._run_calls, name=name, daemon=True)
        try:
            thread.start()
        except RuntimeError:
            if not self._threads:
                raise
        else:
            self._started += 1
            self._threads += 1

    def _run_calls(self):
        while (call := self._next_call()) is not None:
            call.run()
            del call

    def _next_call(self):
        """The call to run next, or None if none came in time: the thread has to end then."""
        with self._call_added:
            if not self._calls:
                self._idle_threads += 1
                self._call_added.wait_for(lambda: self._calls, self._idle_timeout_s)
                self._idle_threads -= 1
            if self._calls:
                return self._calls.popleft()
            self._threads -= 1
            return None
