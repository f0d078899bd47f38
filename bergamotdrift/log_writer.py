"""Log writer that never blocks the event loop."""

import atexit
import queue
import threading
from typing import Protocol, TextIO

from bergamotdrift.metrics import LOG_LINES_DROPPED

QUEUE_LINES = 10_000
STOP_TIMEOUT_S = 1.0


class LineSink(Protocol):
    """Accept lines of text."""

    def write(self, line: str, /) -> object:
        """Write one line, which includes its line break."""
        ...


class LineWriter:
    """Write lines to a stream from a separate thread.

    Writing to a full pipe blocks, so it must not happen on the event loop. Lines
    that don't fit into the queue are dropped and counted.
    """

    def __init__(self, stream: TextIO, queue_lines: int = QUEUE_LINES):
        self._stream = stream
        self._lines: queue.Queue[str | None] = queue.Queue(queue_lines)
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)

    def start(self) -> None:
        """Start the thread, and register `stop` to run when the process exits."""
        self._thread.start()
        atexit.register(self.stop)

    def write(self, line: str) -> None:
        """Queue a line, or drop it if the queue is full."""
        try:
            self._lines.put_nowait(line)
        except queue.Full:
            LOG_LINES_DROPPED.inc()

    def stop(self) -> None:
        """Write the queued lines and stop the thread, within a time limit."""
        atexit.unregister(self.stop)
        try:
            self._lines.put(None, timeout=STOP_TIMEOUT_S)
        except queue.Full:
            return
        self._thread.join(STOP_TIMEOUT_S)

    def _run(self) -> None:
        while (line := self._lines.get()) is not None:
            try:
                self._stream.write(line)
                if self._lines.empty():
                    self._stream.flush()
            except (OSError, ValueError):
                LOG_LINES_DROPPED.inc()
