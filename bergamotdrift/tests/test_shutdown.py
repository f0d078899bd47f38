import signal
import subprocess
import sys
import unittest

_PROGRAM = """
import gevent
from bergamotdrift.shutdown import shutdown_event

stop = shutdown_event()
work = gevent.spawn(gevent.sleep, 0.5)
print("running", flush=True)
stop.wait()
print("stopping", flush=True)
work.join()
print("finished", flush=True)
"""


class SignalTests(unittest.TestCase):
    """Guards against a shutdown that ends the process before its running work."""

    def start(self):
        proc = subprocess.Popen(
            [sys.executable, "-c", _PROGRAM], stdout=subprocess.PIPE, text=True
        )
        assert proc.stdout is not None
        self.addCleanup(proc.stdout.close)
        self.addCleanup(proc.wait)
        self.addCleanup(proc.kill)
        self.assertEqual(proc.stdout.readline(), "running\n")
        return proc

    def test_running_work_ends_before_the_exit_even_if_signals_repeat(self):
        for first in (signal.SIGTERM, signal.SIGINT):
            with self.subTest(signal=first):
                proc = self.start()
                proc.send_signal(first)
                self.assertEqual(proc.stdout.readline(), "stopping\n")
                proc.send_signal(signal.SIGTERM)
                proc.send_signal(signal.SIGINT)
                self.assertEqual(proc.stdout.read(), "finished\n")
                self.assertEqual(proc.wait(10), 0)
