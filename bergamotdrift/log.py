"""Log events as one key=value line each, through eliot."""

import re
import sys
import time
from collections.abc import Mapping
from typing import Any

import eliot
import gevent
from logfmter import Logfmter

from bergamotdrift.log_rate_limiter import LogBudget
from bergamotdrift.log_writer import LineSink, LineWriter
from bergamotdrift.metrics import EVENTS, LOG_LINES_SUPPRESSED

# Fields of eliot's own that say nothing to an operator.
_HIDDEN_FIELDS = frozenset({"task_uuid", "task_level", "message_type", "timestamp"})
# Values under these names are never written, whoever passes them.
_SECRET_FIELDS = frozenset({
    "authorization",
    "key",
    "operator_key",
    "password",
    "secret",
    "workspace_key",
})
_HIDDEN = "[hidden]"
_BEARER = re.compile(r"(?i)\b(bearer)[\s:=]+\S+")
_NAME = re.compile(r"[^A-Za-z0-9_.-]")
# Longer values hide the rest of the line, and lines that a collector cuts.
MAX_VALUE_CHARS = 1024


def log_event(event: str, **fields: Any) -> None:
    """Log and count one event; its name must be a constant."""
    EVENTS.labels(event).inc()
    eliot.log_message(message_type=event, **fields)


def format_event(record: Mapping[str, Any]) -> str:
    """Return an eliot message as one key=value line, time in seconds."""
    pairs = [f"ts={record['timestamp']:.3f}"]
    pairs.append(f"event={_text(record.get('message_type'))}")
    for name, value in record.items():
        if name not in _HIDDEN_FIELDS:
            shown = _HIDDEN if name.lower() in _SECRET_FIELDS else _text(value)
            pairs.append(f"{_NAME.sub('_', name)}={shown}")
    return " ".join(pairs)


class LineDestination:
    """Write eliot messages as lines to a sink, within a budget."""

    def __init__(self, sink: LineSink):
        self._sink = sink
        self._budget = LogBudget(time.monotonic())

    def __call__(self, record: Mapping[str, Any]) -> None:
        """Write one message as a line; say now and then what was left out."""
        now_s = time.monotonic()
        if self._budget.allows(str(record.get("message_type")), now_s):
            self._sink.write(format_event(record) + "\n")
        suppressed = self._budget.take_report(now_s)
        if suppressed:
            LOG_LINES_SUPPRESSED.inc(sum_of(suppressed))
            report = {
                "timestamp": record["timestamp"],
                "message_type": "log_lines_suppressed",
                "events": suppressed,
            }
            self._sink.write(format_event(report) + "\n")


def sum_of(report: str) -> int:
    """Return how many lines a report of suppressed lines counts."""
    return sum(int(part.rpartition(":")[2]) for part in report.split(","))


def start_logging(program: str, node: str) -> None:
    """Send all events to standard output, with program and process in each line."""
    writer = LineWriter(sys.stdout)
    writer.start()
    # Events logged so far are written when the destination is added.
    # Events name other nodes as `node`.
    eliot.add_global_fields(program=program, process=node)
    eliot.add_destinations(LineDestination(writer))
    _log_greenlet_errors()


def _log_greenlet_errors() -> None:
    """Log a line for each greenlet that ends with an error, before its traceback."""
    hub: Any = gevent.get_hub()
    print_error = hub.handle_error

    def handle_error(context: Any, kind: Any, value: Any, tb: Any) -> None:
        if not issubclass(kind, hub.NOT_ERROR):
            log_event("greenlet_failed", greenlet=context, error=repr(value))
        print_error(context, kind, value, tb)

    hub.handle_error = handle_error


def _text(value: Any) -> str:
    """Return a value as logfmt text without line ends or control characters."""
    try:
        text = "" if value is None else str(value)
    except Exception as exc:
        text = f"[unprintable: {type(exc).__name__}]"
    if isinstance(value, bool):
        text = text.lower()
    if len(text) > MAX_VALUE_CHARS:
        text = text[:MAX_VALUE_CHARS] + "..."
    text = Logfmter.format_string(_BEARER.sub(rf"\1 {_HIDDEN}", text))
    # logfmter escapes ASCII control characters only; U+0085 or U+2028 would still
    # end a line for many readers.
    return "".join(ch if ch.isprintable() else _escape(ch) for ch in text)


def _escape(char: str) -> str:
    return char.encode("unicode_escape").decode()
