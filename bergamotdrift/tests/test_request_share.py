import unittest

from hypothesis import given
from hypothesis import strategies as st

from bergamotdrift.request_share import RequestShare


class RequestShareTests(unittest.TestCase):
    """Guards against entries that together send a cold upstream more than its limit."""

    def shares(self, entries):
        members = frozenset(f"e{n}" for n in range(entries))
        shares = [RequestShare(name, 1000.0) for name in members]
        for share in shares:
            share.set_members(members)
        return shares

    @given(st.integers(1, 100), st.integers(0, 40))
    def test_shares_add_up_to_the_limit(self, entries, per_s):
        sent = 0
        for share in self.shares(entries):
            while share.has_room("u", per_s, 0.0):
                share.record_sent("u", 0.0)
                sent += 1
        self.assertEqual(sent, per_s)

    def test_capacity_is_available_again_after_a_second(self):
        (share,) = self.shares(1)
        share.record_sent("u", 0.0)
        self.assertFalse(share.has_room("u", 1, 999.0))
        self.assertTrue(share.has_room("u", 1, 1000.0))

    def test_entry_without_known_members_counts_itself(self):
        self.assertTrue(RequestShare("e1", 1000.0).has_room("u", 1, 0.0))


if __name__ == "__main__":
    unittest.main()
