"""Marginal cost of an instance's data and work, in memory, time and bytes.

Gives the slopes of docs/CAPACITY.md that no other benchmark measures. Memory is
what Python's allocator holds (for streams: the process's resident memory),
processor time is a median over rounds, bytes are encoded by the real codecs.
"""

from bench import report
from bench.capacity import calls
from bench.capacity import fleet_work
from bench.capacity import learning
from bench.capacity import memory
from bench.capacity import messages
from bench.capacity import processor
from bench.capacity import streams


def run() -> list[report.Line]:
    """Measures all; takes about a minute."""
    return [
        *processor.lines(),
        *fleet_work.lines(),
        *memory.lines(),
        *messages.lines(),
        *streams.lines(),
        *calls.lines(),
        *learning.lines(),
    ]
