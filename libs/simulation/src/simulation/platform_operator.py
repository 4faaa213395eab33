"""The platform's operator: sends a change unchanged to any node until its answer is
clear, and reads back what is in force."""

import json

import pycurl

__all__ = ["Operator"]

_CLEAR = (200, 202, 204, 400, 409, 412, 413, 422)


class Operator:
    """`send` and `read` are the public methods."""

    def __init__(self, fleet):
        self._fleet = fleet

    def _call(self, name, method, path, data, headers):
        chunks, curl = [], pycurl.Curl()
        curl.setopt(pycurl.URL, f"http://{self._fleet.address(name, 'control')}{path}")
        curl.setopt(pycurl.CUSTOMREQUEST, method)
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.TIMEOUT_MS, 8000)
        curl.setopt(pycurl.WRITEFUNCTION, chunks.append)
        curl.setopt(pycurl.HTTPHEADER, [*headers, "Expect:"])
        if data:
            curl.setopt(pycurl.POSTFIELDS, data)
        try:
            curl.perform()
            return curl.getinfo(pycurl.RESPONSE_CODE), b"".join(chunks)
        except pycurl.error:
            return 0, b""
        finally:
            curl.close()

    def send(self, method, path, body=None, match=None):
        """The first clear status."""
        data = json.dumps(body).encode() if body is not None else b""
        headers = ["Content-Type: application/json"] if data else []
        headers += [f"If-Match: {match}"] if match is not None else []

        def sent():
            name = self._fleet.rng.choice(
                [n for n in self._fleet.depots if n in self._fleet.running]
            )
            code = self._call(name, method, path, data, headers)[0]
            return code if code in _CLEAR else None

        return self._fleet.until(sent)

    def read(self, name):
        """The configuration as one node gives it, or None."""
        code, data = self._call(name, "GET", "/config", b"", ())
        return json.loads(data) if code == 200 else None
