"""Thread pool that keeps few idle threads."""

import threading
from collections import deque
from concurrent.futures import Future
from dataclasses import dataclass

__all__ = ["ThreadPool"]

_IDLE_LIMIT = 8


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

    Unlike `concurrent.futures.ThreadPoolExecutor`, it ends a thread that has nothing to do while
    `idle_limit` others are idle, so a burst of calls leaves few threads behind.  The threads are
    daemons and are named `name`-1, `name`-2 and so on."""

    def __init__(self, size, name, idle_limit=_IDLE_LIMIT):
        self._size, self._name, self._idle_limit = size, name, idle_limit
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
        """The call to run next, or None if the thread has to end."""
        with self._call_added:
            if not self._calls and not self._wait_for_call():
                self._threads -= 1
                return None
            return self._calls.popleft()

    def _wait_for_call(self):
        """Wait until there is a call; returns False, at once, if enough threads wait already."""
        if self._idle_threads >= self._idle_limit:
            return False
        self._idle_threads += 1
        while not self._calls:
            self._call_added.wait()
        self._idle_threads -= 1
        return True
