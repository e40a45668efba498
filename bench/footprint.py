"""What one more of each thing costs an instance, in memory, time and bytes.

The slopes behind docs/CAPACITY.md that no other benchmark gives. Memory is
what Python's allocator keeps (of streams: what the process has resident),
processor time is a median over rounds, bytes are by the real codecs.
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
