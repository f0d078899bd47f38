"""The byte budget of an entry, with its metrics and log lines."""

from prometheus_client import Counter, Gauge

from bergamotdrift.byte_budget import CHUNK_BYTES, ByteBudget, Pressure
from bergamotdrift.constants import CLOSE_DELIMITED_MAX_BYTES, RETRY_BODY_BYTES
from bergamotdrift.log import log_event

# Together with the memory of a process at rest it stays within the 152 MB of the
# smallest entries, also if a copy of each byte is made.
TOTAL_BYTES = 32 * 1024 * 1024
# The body of a request, the longest response that is buffered, and a part that is read.
REQUEST_BYTES = RETRY_BODY_BYTES + CLOSE_DELIMITED_MAX_BYTES + CHUNK_BYTES

HELD = Gauge(
    "bergamotdrift_entry_held_bytes",
    "Bytes of requests and responses that are held in buffers now",
)
HELD_PEAK = Gauge(
    "bergamotdrift_entry_held_bytes_peak",
    "Most bytes of requests and responses that were held at once",
)
PRESSURE = Counter(
    "bergamotdrift_entry_memory_pressure_total",
    "Decisions to buffer less as the byte budget was used up, by reason",
    ("reason",),
)


def new_budget() -> ByteBudget:
    """Return the byte budget of this process and export it."""

    def report(pressure: Pressure) -> None:
        PRESSURE.labels(pressure).inc()
        log_event("memory_pressure", reason=pressure.value, held=budget.held_bytes)

    budget = ByteBudget(TOTAL_BYTES, REQUEST_BYTES, report)
    HELD.set_function(lambda: budget.held_bytes)
    HELD_PEAK.set_function(lambda: budget.peak_bytes)
    return budget
