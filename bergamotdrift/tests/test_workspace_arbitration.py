import unittest
from typing import Any

from bergamotdrift.arbiter_messages import (
    TokenGrant,
    TokenRequest,
    TokensSpent,
)
from bergamotdrift.clock import ManualClock
from bergamotdrift.shard_view import WorkspaceView
from bergamotdrift.tests import arbiter_support as support
from bergamotdrift.workspace_arbitration import WorkspaceArbitration

SHARD = "workspace:w"
ENTRIES = frozenset({support.entry(0), support.entry(1)})


class TakeoverTests(unittest.TestCase):
    """Guards against takeovers that exceed the burst: 20 tokens, filled in 200 ms."""

    def setUp(self):
        self.clock = ManualClock(100_000.0)

    def take_over(self, *reports, **changes):
        view = WorkspaceView(1, support.workspace(), ENTRIES, entries_left_ms=0.0)
        view = view._replace(**changes)
        self.arbiter = WorkspaceArbitration(SHARD, view, self.clock)
        for entry, tokens in zip(sorted(ENTRIES), reports, strict=True):
            msg = support.resume(SHARD)._replace(tokens=tokens)
            self.arbiter.resume(entry, msg)

    def granted(self):
        msg = TokenRequest("w", 1, 50)
        reply: Any = self.arbiter.lease_tokens(support.entry(0), msg, 1)[0]
        found = reply.message
        return found.tokens if isinstance(found, TokenGrant) else 0

    def test_new_arbiter_grants_what_the_entries_left_of_the_burst(self):
        self.take_over(TokensSpent(200, 5, 2), TokensSpent(200, 3, 0))
        self.assertEqual(self.granted(), 10)

    def test_nothing_is_granted_at_once_when_a_use_may_be_unknown(self):
        whole, idle = TokensSpent(200, 5, 2), TokensSpent(200, 0, 0)
        cases = {
            "an entry left": ((whole, idle), {"entries_left_ms": 99_900.0}),
            "entries may have left": ((whole, idle), {"entries_left_ms": float("inf")}),
            "limits changed": ((whole, idle), {"limits_since_ms": 99_900.0}),
            "no report": ((whole, None), {}),
            "short window": ((whole, TokensSpent(199, 0, 0)), {}),
        }
        for name, (reports, changes) in cases.items():
            with self.subTest(name):
                self.take_over(*reports, **changes)
                self.assertEqual(self.granted(), 0)


if __name__ == "__main__":
    unittest.main()
