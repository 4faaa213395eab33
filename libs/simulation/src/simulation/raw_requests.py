"""Requests as callers may write them: any case of names, odd bytes, chunks or a length, and
forged senders."""

__all__ = ["COMPARED", "TENANTS", "RawRequest"]

# The fields that an engine must read as the caller wrote them, and then the tenant's name
# and the key, of which it must read the name of the key's tenant and nothing.
_SENDER = ("x-sender", "x-credential")
_AS_WRITTEN = ("x-try-id", "x-parcel", "x-tokens", "x-prompt-prefix", "x-odd", "content-type")
COMPARED = (*_AS_WRITTEN, *_SENDER)
# Who holds which key.
TENANTS = {"k-1": "acme", "k-2": "acme", "k-3": "other"}
_FORGED = (
    (),
    (),
    ("x-sender: other",),
    ("x-sender: other", "x-sender: acme"),
    ("x-sender:", "connection: x-sender, x-credential"),
    ("x_sender: other", "connection: x-credential"),
)
_KEY_TWICE_SHARE = 0.1
_SIZES_BYTES = (0, 1, 700, 40_000, 300_000)
_TARGETS = ("/a/b", "/a/%2e%2e/b?x=1&y=%00", "/a/?q", "/a//b;c", "/a/\xe9?\xff")
_ODD_VALUES = ("\x85\xa0\xff", "a\x0bb\x0cc\x1cd\x1ee", "a:b, c", "\t tab", "x" * 3000)
_TYPES = ("a/b", "application/x-www-form-urlencoded")
_TYPED_SHARE = 0.5
_CHUNKED_SHARE = 0.4
_LENGTH_OF_NONE_SHARE = 0.5


def _any_case(rng, name):
    return rng.choice((name, name.upper(), name.title(), name.swapcase()))


class RawRequest:
    """One request as a caller writes it; `number` keeps its id apart from others'."""

    def __init__(self, rng, number):
        self.id = f"{number:08x}{rng.getrandbits(32):08x}"
        self.method = rng.choice(("POST", "POST", "POST", "GET", "PUT", "DELETE"))
        self.target = rng.choice(_TARGETS)
        self.body = rng.randbytes(rng.choice(_SIZES_BYTES))
        parts = [f"{rng.getrandbits(32):x}:{tokens}" for tokens in range(rng.randrange(9))]
        self._fields = {
            "x-try-id": self.id,
            "x-parcel": rng.choice(("m", "m/a1", "")),
            "x-tokens": rng.choice(("1460,80", "", "0,0", "99999999999,1")),
            "x-prompt-prefix": ",".join(parts),
            "x-odd": rng.choice(_ODD_VALUES),
        }
        if rng.random() < _TYPED_SHARE:
            self._fields["content-type"] = rng.choice(_TYPES)
        self._chunked = rng.random() < _CHUNKED_SHARE
        self._tenant, self._sender_lines = self._sender(rng)
        self._rng = rng

    def _sender(self, rng):
        """(whose it is, the header lines that say so or claim something else)"""
        key = rng.choice(("", "k-9", *TENANTS))
        lines = [f"x-credential: {key}"] if key else []
        tenant = TENANTS.get(key, "")
        if lines and rng.random() < _KEY_TWICE_SHARE:
            lines, tenant = lines * 2, ""
        return tenant, (*lines, *rng.choice(_FORGED))

    def wire(self):
        """Its bytes; the fields stand in any order."""
        lines = [
            f"{_any_case(self._rng, name)}:{self._rng.choice(('', ' ', '  '))}{value}"
            for name, value in self._fields.items()
        ]
        for line in self._sender_lines:
            name, colon, value = line.partition(":")
            lines.append(_any_case(self._rng, name) + colon + value)
        self._rng.shuffle(lines)
        if self._chunked:
            lines.append("Transfer-Encoding: chunked")
        elif self.body or self._rng.random() < _LENGTH_OF_NONE_SHARE:
            lines.append(f"Content-Length: {len(self.body)}")
        head = [f"{self.method} {self.target} HTTP/1.1", "Host: h.example", *lines, "", ""]
        return "\r\n".join(head).encode("latin1") + self._framed_body()

    def _framed_body(self):
        if not self._chunked:
            return self.body
        found, at = b"", 0
        while at < len(self.body):
            part = self.body[at : at + self._rng.choice((1, 900, 70_000))]
            found += b"%x;e=1\r\n" % len(part) + part + b"\r\n"
            at += len(part)
        return found + b"0\r\nX-Trailer: 1\r\n\r\n"

    def facts(self):
        """(method, target, values of the compared fields, body), as an engine must read them."""
        values = tuple(self._fields.get(name, "").strip(" \t") for name in _AS_WRITTEN)
        return self.method, self.target, (*values, self._tenant, ""), self.body
