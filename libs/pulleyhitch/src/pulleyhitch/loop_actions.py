"""Actions that other threads have an event loop run."""

import queue
import selectors
import socket

__all__ = ["LoopActions"]


class LoopActions:
    """Actions for the loop that watches `selector`.  `receiver` becomes readable when there are
    any."""

    def __init__(self, selector):
        self._actions = queue.SimpleQueue()
        self.receiver, self._sender = socket.socketpair()
        self.receiver.setblocking(False)
        selector.register(self.receiver, selectors.EVENT_READ)

    def add(self, action):
        """Run `action` on the loop's thread, and wake that up."""
        self._actions.put(action)
        try:
            self._sender.send(b"!", socket.MSG_DONTWAIT)
        except OSError:
            pass

    def on_readable(self):
        """Read what woke the loop up."""
        self.receiver.recv(4096)

    def take_all(self):
        """Yield the actions, oldest first."""
        while not self._actions.empty():
            yield self._actions.get()
