"""Frames of long messages are compressed, and whatever arrives is read back or refused."""

import random
import zlib

import pytest
from placement import ledger
from transport import compression, frames
from transport.messages import Entry, FeedEntries

RECORDS = [
    ledger.order_record("i-59b90ae761", "daka510000", "load", "3.2.759", 72700.0, 0, "golo93a"),
    ledger.state_record("i-59b90ae761", "daka510000", "3.2.759", "taken"),
    ledger.state_record("i-59b90ae761", "daka510000", "3.2.759", "loaded"),
    ledger.unhold_record("a81f0d2c55e1b7f3.9c41d07be2a35f68", "served"),
]


def news(count=1):
    body = b"".join(RECORDS)
    return FeedEntries(3, 9, tuple(Entry(n, 3, body) for n in range(count)))


def test_news_of_the_log_takes_less_than_half():
    plain = sum(map(len, RECORDS))
    assert len(frames.pack(news())) < 0.5 * plain
    assert len(frames.pack(news(20))) < 0.1 * 20 * plain


@pytest.mark.parametrize("count", (1, 2, 40, 400))
def test_what_was_packed_is_read_back(count):
    data = frames.pack(news(count))
    intake, found = frames.FrameBuffer(), []
    for at in range(0, len(data), 1000):
        messages, broken = frames.feed(intake, data[at : at + 1000])
        assert broken is None
        found += messages
    assert found == [news(count)]


def test_short_ones_and_noise_go_as_they_are():
    assert compression.compress(b"x" * 100) is None
    assert compression.compress(random.Random(1).randbytes(4000)) is None


def test_spoilt_bytes_are_refused():
    rng, whole = random.Random(2), compression.compress(b"".join(RECORDS) * 3)
    for _ in range(300):
        spoilt = bytearray(whole)
        spoilt[rng.randrange(len(spoilt))] ^= 1 << rng.randrange(8)
        with pytest.raises(compression.DecompressionError):
            found = compression.decompress(bytes(spoilt), 1 << 20)
            assert found != b"".join(RECORDS) * 3
            raise compression.DecompressionError
    for cut in range(len(whole)):
        with pytest.raises(compression.DecompressionError):
            compression.decompress(whole[:cut], 1 << 20)
    with pytest.raises(compression.DecompressionError):
        compression.decompress(whole + b"x", 1 << 20)


def test_no_more_is_restored_than_allowed():
    bomb = compression.compress(b"a" * (1 << 22))
    assert len(bomb) < 1 << 14
    with pytest.raises(compression.DecompressionError):
        compression.decompress(bomb, 1 << 20)


def test_another_dictionary_is_refused():
    packer = zlib.compressobj(4, zdict=b"other words")
    data = packer.compress(b"".join(RECORDS)) + packer.flush()
    with pytest.raises(compression.DecompressionError):
        compression.decompress(data, 1 << 20)
