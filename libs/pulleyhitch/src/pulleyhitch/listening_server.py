"""Base class of the HTTP servers that run on a Listener."""

__all__ = ["ListeningServer"]


class ListeningServer:
    """A server whose connections are handled by `_listener`, which the subclass sets."""

    _listener = None

    def run(self):
        """Serve until `stop` is called."""
        self._listener.run()

    def stop_accepting(self):
        """Accept no more connections.  Requests on connections accepted before are still served."""
        self._listener.stop_accepting()

    def stop(self):
        """Accept no more connections; `run` returns once every accepted request is answered."""
        self._listener.stop()

    def empty(self):
        """Whether the server has stopped accepting and no request is pending."""
        return self._listener.empty()

    def has_unanswered_requests(self):
        """Whether a request has been read whole and its answer hasn't been sent whole."""
        return self._listener.has_unanswered_requests()
