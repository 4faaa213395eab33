"""How fast this machine is just now: a fixed piece of work, timed again and again.

A machine shared with other runs spends up to twice the processor time on the same
work.  Every run times this piece along its way; its processor times are then
told as they would be at the pace of a quiet moment.
"""

import statistics
import time

from transport import frames
from transport.messages import Gossip, GroupInfo, NodeInfo

__all__ = ["QUIET_MS", "sample", "factor"]

QUIET_MS = 2.0
_CARDS = tuple(
    NodeInfo(f"n{i}", "counter", "z", "10.0.0.1:1", "10.0.0.1:2", "life") for i in range(40)
)
_PIECE = Gossip(_CARDS[0], False, _CARDS, GroupInfo("g", 1, 1, "", ()))


def sample():
    """Processor ms of the piece: packing, reading and sorting, as the cores do."""
    begun_s = time.process_time()
    for _ in range(3):
        frames.feed(frames.FrameBuffer(), frames.pack(_PIECE))
        sorted(repr(card) for card in _CARDS)
    return (time.process_time() - begun_s) * 1000


def factor(samples):
    """What a processor time is to be multiplied by."""
    return QUIET_MS / statistics.median(samples)
