import contextlib
import io
import os
import subprocess
import sys
import unittest

from hypothesis import given
from hypothesis import strategies as st
from prometheus_client import REGISTRY

from bergamotdrift.log import LineDestination, format_event, log_event
from bergamotdrift.log_rate_limiter import (
    EVENT_LINES_BURST,
    EVENT_LINES_PER_S,
    PROCESS_LINES_BURST,
    LogRateLimiter,
)
from bergamotdrift.log_writer import LineWriter
from bergamotdrift.metrics import LOG_LINES_DROPPED


def record(**fields):
    return {"timestamp": 1.5, "message_type": "test", "task_uuid": "u"} | fields


def run_python(code):
    """Run Python code in a subprocess."""
    return subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, timeout=20
    )


class Unprintable:
    def __str__(self):
        raise RuntimeError


class FormatTests(unittest.TestCase):
    """Guards against events that span several lines or inject fields."""

    def test_fields_keep_their_order_and_eliot_fields_are_omitted(self):
        line = format_event(record(zone="a", n=3, ok=True, none=None))
        self.assertEqual(line, "ts=1.500 event=test zone=a n=3 ok=true none=")

    def test_text_with_spaces_quotes_or_equal_signs_is_quoted(self):
        line = format_event(record(text='a b="c"'))
        self.assertEqual(line, 'ts=1.500 event=test text="a b=\\"c\\""')

    @given(st.dictionaries(st.text(), st.text()), st.text())
    def test_any_event_is_one_printable_line(self, fields, event):
        line = format_event(record() | fields | record(message_type=event))
        self.assertEqual(len(line.splitlines()), 1)
        self.assertTrue(line.isprintable())
        line.encode()

    def test_value_that_cannot_be_converted_to_text_does_not_lose_the_event(self):
        line = format_event(record(bad=Unprintable()))
        self.assertIn('bad="[unprintable: RuntimeError]"', line)

    def test_long_values_are_truncated(self):
        self.assertLess(len(format_event(record(text="x" * 100_000))), 1100)


class SecretTests(unittest.TestCase):
    """Guards against secrets in logs."""

    def test_secret_fields_are_redacted(self):
        for name in ("workspace_key", "Authorization", "key", "operator_key"):
            line = format_event(record(**{name: "s3cret"}))
            self.assertNotIn("s3cret", line)

    def test_bearer_tokens_within_text_are_redacted(self):
        for text in ("Bearer s3cret", "{'authorization': 'bearer  s3cret'}"):
            line = format_event(record(detail=text))
            self.assertNotIn("s3cret", line)

    def test_digests_and_hashes_are_shown(self):
        line = format_event(record(key_digest="sha256:ab", key_hash=7))
        self.assertIn("key_digest=sha256:ab key_hash=7", line)


class EventCounterTests(unittest.TestCase):
    def test_each_event_is_counted_by_name(self):
        log_event("test_counted")
        log_event("test_counted")
        name = "bergamotdrift_events_total"
        self.assertEqual(REGISTRY.get_sample_value(name, {"event": "test_counted"}), 2)


class LogRateLimiterTests(unittest.TestCase):
    """Guards against a flood of one event that fills the disk or hides other events."""

    def test_flood_is_bounded_and_counted(self):
        limiter = LogRateLimiter(0.0)
        allowed = sum(limiter.allows("a", n / 10_000) for n in range(100_000))
        bound = EVENT_LINES_BURST + 10 * EVENT_LINES_PER_S
        self.assertLessEqual(allowed, bound + 1)
        self.assertEqual(limiter.pop_report(10.0), f"a:{100_000 - allowed}")
        self.assertEqual(limiter.pop_report(20.0), "")

    def test_other_events_are_written_during_a_flood(self):
        limiter = LogRateLimiter(0.0)
        for n in range(50_000):
            limiter.allows("a", n / 10_000)
        self.assertTrue(limiter.allows("b", 5.0))

    def test_process_limit_covers_all_events(self):
        limiter = LogRateLimiter(0.0)
        allowed = sum(limiter.allows(str(n % 500), 0.0) for n in range(50_000))
        self.assertLessEqual(allowed, PROCESS_LINES_BURST)


class LineWriterTests(unittest.TestCase):
    """Guards against a slow or blocked log reader that blocks the process."""

    def test_lines_are_written_in_order(self):
        stream = io.StringIO()
        writer = LineWriter(stream)
        writer.start()
        destination = LineDestination(writer)
        for n in range(100):
            destination(record(n=n))
        writer.stop()
        lines = stream.getvalue().splitlines()
        self.assertEqual(
            [line.split("n=")[-1] for line in lines], [*map(str, range(100))]
        )

    def test_full_pipe_drops_lines_instead_of_blocking(self):
        dropped = LOG_LINES_DROPPED._value.get
        before = dropped()
        read_end, write_end = os.pipe()
        stream = os.fdopen(write_end, "w")
        writer = LineWriter(stream, queue_lines=10)
        writer.start()
        for _ in range(400):
            writer.write("x" * 1024 + "\n")
        self.assertGreater(dropped(), before)
        # Closing the read end makes the blocked write fail, so the thread ends.
        os.close(read_end)
        writer.stop()
        with contextlib.suppress(BrokenPipeError):
            stream.close()

    def test_process_writes_all_lines_before_it_exits(self):
        code = (
            "from bergamotdrift.log import log_event, start_logging\n"
            "log_event('early')\n"
            "start_logging('entry', 'e1')\n"
            "for n in range(500): log_event('step', n=n)\n"
        )
        result = run_python(code)
        lines = result.stdout.splitlines()
        self.assertEqual(len(lines), 501)
        self.assertRegex(
            lines[0], r"^ts=\d+\.\d+ event=early program=entry process=e1$"
        )
        self.assertIn("event=step n=499 program=entry process=e1", lines[-1])

    def test_failed_greenlet_is_logged(self):
        code = (
            "import gevent\n"
            "from bergamotdrift.log import start_logging\n"
            "start_logging('control', 'c1')\n"
            "def step(): raise ZeroDivisionError('no rows')\n"
            "gevent.spawn(step).join()\n"
            "gevent.spawn(step).kill()\n"
        )
        result = run_python(code)
        (line,) = result.stdout.splitlines()
        self.assertIn("event=greenlet_failed", line)
        self.assertIn("ZeroDivisionError('no rows')", line)
        self.assertIn("process=c1", line)
        self.assertIn("Traceback", result.stderr)
