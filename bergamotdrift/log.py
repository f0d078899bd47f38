"""Logging of events through eliot, each as one line of key=value pairs."""

import re
import sys
import time
from collections.abc import Mapping
from typing import Any

import eliot
import gevent
from logfmter import Logfmter

from bergamotdrift.log_rate_limiter import LogRateLimiter
from bergamotdrift.log_writer import LineSink, LineWriter
from bergamotdrift.metrics import EVENTS, LOG_LINES_SUPPRESSED

# Fields that eliot adds and operators don't need.
_OMITTED_FIELDS = frozenset({"task_uuid", "task_level", "message_type", "timestamp"})
# Values of these fields are always redacted.
_SECRET_FIELDS = frozenset({
    "authorization",
    "key",
    "operator_key",
    "password",
    "secret",
    "workspace_key",
})
_REDACTED = "[hidden]"
_BEARER_TOKEN = re.compile(r"(?i)\b(bearer)[\s:=]+\S+")
_INVALID_NAME_CHARS = re.compile(r"[^A-Za-z0-9_.-]")
# Longer values make lines hard to read, and log collectors truncate long lines.
MAX_VALUE_CHARS = 1024


def log_event(event: str, **fields: Any) -> None:
    """Log and count an event; its name is a metric label and must be a constant."""
    EVENTS.labels(event).inc()
    eliot.log_message(message_type=event, **fields)


def format_event(record: Mapping[str, Any]) -> str:
    """Format an eliot message as one line of key=value pairs, with time in seconds."""
    pairs = [f"ts={record['timestamp']:.3f}"]
    pairs.append(f"event={_format_value(record.get('message_type'))}")
    for name, value in record.items():
        if name not in _OMITTED_FIELDS:
            shown = (
                _REDACTED if name.lower() in _SECRET_FIELDS else _format_value(value)
            )
            pairs.append(f"{_INVALID_NAME_CHARS.sub('_', name)}={shown}")
    return " ".join(pairs)


class LineDestination:
    """Write eliot messages as lines to a sink, at a limited rate."""

    def __init__(self, sink: LineSink):
        self._sink = sink
        self._limiter = LogRateLimiter(time.monotonic())

    def __call__(self, record: Mapping[str, Any]) -> None:
        """Write a message as a line; report suppressed lines at intervals."""
        now_s = time.monotonic()
        if self._limiter.allows(str(record.get("message_type")), now_s):
            self._sink.write(format_event(record) + "\n")
        suppressed = self._limiter.pop_report(now_s)
        if suppressed:
            LOG_LINES_SUPPRESSED.inc(count_suppressed(suppressed))
            report = {
                "timestamp": record["timestamp"],
                "message_type": "log_lines_suppressed",
                "events": suppressed,
            }
            self._sink.write(format_event(report) + "\n")


def count_suppressed(report: str) -> int:
    """Return the total number of lines in a report of suppressed lines."""
    return sum(int(part.rpartition(":")[2]) for part in report.split(","))


def start_logging(program: str, node: str) -> None:
    """Write all events to standard output; each line names program and process."""
    writer = LineWriter(sys.stdout)
    writer.start()
    # eliot buffers earlier events and writes them when the destination is added.
    # The field is called `process` because events name other nodes as `node`.
    eliot.add_global_fields(program=program, process=node)
    eliot.add_destinations(LineDestination(writer))
    _log_greenlet_errors()


def _log_greenlet_errors() -> None:
    """Log an event for each greenlet that fails, before its traceback is printed."""
    hub: Any = gevent.get_hub()
    print_error = hub.handle_error

    def handle_error(context: Any, kind: Any, value: Any, tb: Any) -> None:
        if not issubclass(kind, hub.NOT_ERROR):
            log_event("greenlet_failed", greenlet=context, error=repr(value))
        print_error(context, kind, value, tb)

    hub.handle_error = handle_error


def _format_value(value: Any) -> str:
    """Format a value for logfmt, without line breaks and control characters."""
    try:
        text = "" if value is None else str(value)
    except Exception as exc:
        text = f"[unprintable: {type(exc).__name__}]"
    if isinstance(value, bool):
        text = text.lower()
    if len(text) > MAX_VALUE_CHARS:
        text = text[:MAX_VALUE_CHARS] + "..."
    text = Logfmter.format_string(_BEARER_TOKEN.sub(rf"\1 {_REDACTED}", text))
    # logfmter escapes only ASCII control characters; many readers also treat U+0085
    # and U+2028 as line breaks.
    return "".join(ch if ch.isprintable() else _escape(ch) for ch in text)


def _escape(char: str) -> str:
    return char.encode("unicode_escape").decode()
