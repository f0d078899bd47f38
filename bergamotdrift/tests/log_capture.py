"""Capture of the log lines that a test causes."""

import eliot

from bergamotdrift.log import LineDestination


class LogCapture:
    """Captures the log lines of a test."""

    def __init__(self):
        self.captured = []

    def write(self, line):
        self.captured.append(line)

    def of_event(self, event):
        """Return the captured lines of an event."""
        return [line for line in self.captured if f"event={event} " in line]


def capture_log(test):
    """Return a capture that ends with the test."""
    log = LogCapture()
    destination = LineDestination(log)
    eliot.add_destinations(destination)
    # eliot passes lines from before the first destination on to it.
    log.captured.clear()
    test.addCleanup(eliot.remove_destination, destination)
    return log
