"""Limits on the moves of key ranges for balance, by the size of a service."""

# A service with at least this many upstreams is large.
_LARGE_SERVICE = 64
_MOVES_PER_BALANCE = 5
# A large service moves at most one range per this many upstreams at a time.
_UPSTREAMS_PER_MOVE = 8
# Balancing waits while more than one range per this many upstreams is changing: with
# many upstreams some ranges always are. A small service waits for all changes.
_UPSTREAMS_PER_CHANGE = 16
# In a large service the moves of one time are a small part of the keys, and waiting
# for the slowest of them leaves other upstreams overloaded for seconds.
_UPSTREAMS_PER_CHANGE_LARGE = 5
# With few requests for each of many upstreams, some always look overloaded by chance.
_NOISE_MARGIN_LARGE = 1.5


def changes_allowed(upstreams: int) -> int:
    """Return how many ranges may be changing when others begin to move."""
    if upstreams >= _LARGE_SERVICE:
        return upstreams // _UPSTREAMS_PER_CHANGE_LARGE
    return upstreams // _UPSTREAMS_PER_CHANGE


def max_moves(upstreams: int) -> int:
    """Return how many ranges may begin to move at a time."""
    return max(_MOVES_PER_BALANCE, upstreams // _UPSTREAMS_PER_MOVE)


def noise_margin(upstreams: int) -> float:
    """Return by how many standard deviations an upstream must be overloaded."""
    return _NOISE_MARGIN_LARGE if upstreams >= _LARGE_SERVICE else 0.0
