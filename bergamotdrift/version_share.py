"""Which versions of a service an entry's requests go to during a rollout.

An entry lets the new version have at most the share in the feed. It earns a part of a
request with every request it sends, so no message is needed and the sum over all
entries stays within the share, plus at most one request for each entry. The first
fraction is drawn from the entry's name: with many entries that send little, together
they still send the share.
"""

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from bergamotdrift import entry_metrics
from bergamotdrift.arbiter_messages import AttemptOutcome
from bergamotdrift.dialect import AnswerLoad
from bergamotdrift.direct_load import DirectLoad
from bergamotdrift.hashing import key_hash
from bergamotdrift.messages import (
    FULL_SHARE_PERMILLE,
    RolloutRow,
    RolloutState,
    UpstreamRow,
    UpstreamState,
    VersionResult,
)
from bergamotdrift.rollout_orders import is_barred
from bergamotdrift.version_results import LATENCY_BUCKETS, latency_bucket

# An entry whose tables were not confirmed for this long sends a new version nothing. A
# new leader is elected within about 0.8 s.
CONFIRMATION_MAX_AGE_MS = 1200.0
# Requests that an entry may save up for the new version while that has no room.
_CREDIT_MAX = 1.5
_HASH_RANGE = 2.0**64
_RESPONSES = frozenset({AttemptOutcome.ANSWERED, AttemptOutcome.TIMEOUT})


class _Attempt(NamedTuple):
    """Identify what a running attempt counts for."""

    service: str
    version: str
    route: str
    # Whether its upstream announced a cold start, in which any version is slow.
    is_cold: bool


class _Counts:
    """Count the attempts of a version on a route."""

    def __init__(self) -> None:
        self.sent = self.failures = self.lost = 0
        self.latencies = [0] * LATENCY_BUCKETS

    def record_end(self, outcome: AttemptOutcome, latency_ms: float) -> None:
        """Count an outcome; a shed or a cancelled attempt says nothing."""
        if outcome is AttemptOutcome.SERVER_ERROR:
            self.failures += 1
        elif outcome is AttemptOutcome.BROKEN:
            self.lost += 1
        elif outcome in _RESPONSES:
            self.latencies[latency_bucket(latency_ms)] += 1


class _Running:
    """Hold the counts and the credit of one running rollout."""

    def __init__(self, row: RolloutRow, node: str):
        self.row = row
        drawn = key_hash(f"{node}/{row.service}/{row.number}")
        self.credit = drawn / _HASH_RANGE
        self.counts: dict[tuple[str, str], _Counts] = {}

    def share(self) -> float:
        """Return the new version's part of the requests."""
        return self.row.share_permille / FULL_SHARE_PERMILLE

    def allows_target(self) -> bool:
        """Return whether the next request may go to the new version."""
        return self.credit + self.share() >= 1.0

    def record_sent(self, version: str, route: str) -> None:
        """Count a request and what it earns for the new version."""
        self.credit = min(_CREDIT_MAX, self.credit + self.share())
        if version == self.row.target:
            self.credit -= 1.0
        self.counts.setdefault((version, route), _Counts()).sent += 1


class VersionShare:
    """Apply the rollouts of the feed at one entry, and count what they need."""

    def __init__(self, node: str):
        self._node = node
        # Time since the leader last confirmed the tables.
        self.control_age_ms: Callable[[], float] = lambda: 0.0
        self._rows: dict[str, RolloutRow] = {}
        self._running: dict[str, _Running] = {}
        self._attempts: dict[str, _Attempt] = {}
        self._attempt_counts: Counter[tuple[str, str]] = Counter()

    def update(self, rows: Mapping[str, RolloutRow]) -> list[RolloutRow]:
        """Apply the rollouts of the feed; return those that changed."""
        changed = [row for row in rows.values() if self._rows.get(row.service) != row]
        self._rows = dict(rows)
        running = {}
        for row in rows.values():
            if row.state is not RolloutState.RUNNING:
                continue
            known = self._running.get(row.service)
            if known is None or known.row.number != row.number:
                known = _Running(row, self._node)
            known.row = row
            running[row.service] = known
        self._running = running
        return changed

    def groups(
        self, service: str, loads: Sequence[DirectLoad]
    ) -> list[Sequence[DirectLoad]]:
        """Return the upstreams of a pool that a request may go to, preferred first."""
        row = self._rows.get(service)
        if row is None:
            return [loads]
        usable = [load for load in loads if not is_barred(row, load.row.version)]
        running = self._running.get(service)
        if running is None:
            # Without any other upstream, a version that was replaced is used again.
            is_completed = row.state is RolloutState.COMPLETED
            return [usable or loads] if is_completed else [usable]
        old = [load for load in usable if load.row.version != row.target]
        if not self._is_confirmed():
            return [old]
        new = [load for load in usable if load.row.version == row.target]
        if row.share_permille >= FULL_SHARE_PERMILLE:
            return [new]
        return [new, old] if new and running.allows_target() else [old]

    def bars_owner(self, service: str, version: str) -> bool:
        """Return whether the owner of a key gets no requests, as of its version.

        Ranges move away from old versions one by one, so their owners stay in use.
        """
        row = self._rows.get(service)
        if row is None or version != row.target:
            return False
        if row.state is RolloutState.RUNNING and not self._is_confirmed():
            return True
        return is_barred(row, version)

    def record_sent(self, attempt: str, route: str, upstream: UpstreamRow) -> None:
        """Record the start of an attempt, in any state of its service."""
        service, version = upstream.service, upstream.version
        is_cold = upstream.state is UpstreamState.COLD
        self._attempts[attempt] = _Attempt(service, version, route, is_cold)
        self._attempt_counts[service, version] += 1
        running = self._running.get(service)
        if running is not None:
            running.record_sent(version, route)
            entry_metrics.count_version(service, version == running.row.target)

    def record_end(
        self,
        attempt: str,
        outcome: AttemptOutcome,
        latency_ms: float,
        reported: AnswerLoad | None,
    ) -> None:
        """Record the end of an attempt; `reported` is the load that its answer told.

        Queueing says nothing about the version, so its part of the latency is removed.
        """
        found = self._attempts.pop(attempt, None)
        if found is None:
            return
        self._attempt_counts[found.service, found.version] -= 1
        if self._attempt_counts[found.service, found.version] <= 0:
            del self._attempt_counts[found.service, found.version]
        running = self._running.get(found.service)
        if running is None:
            return
        counts = running.counts.get((found.version, found.route))
        if counts is None:
            return
        if found.is_cold and outcome is not AttemptOutcome.SERVER_ERROR:
            return
        if reported is not None:
            latency_ms /= 1.0 + max(0, reported.waiting) / max(1, reported.slots)
        counts.record_end(outcome, latency_ms)

    def results(self) -> list[VersionResult]:
        """Return the counts of all running rollouts.

        Each has a row without a route for every version with running attempts, and
        for the new version, so that the leader sees when nothing is left running.
        """
        found = []
        for service, running in self._running.items():
            row = running.row
            versions = {v for s, v in self._attempt_counts if s == service}
            for version in sorted({row.target, *versions}):
                count = self._attempt_counts[service, version]
                found.append(VersionResult(service, row.number, version, "", count))
            for (version, route), item in running.counts.items():
                found.append(
                    VersionResult(
                        service,
                        row.number,
                        version,
                        route,
                        0,
                        item.sent,
                        item.failures,
                        item.lost,
                        _trimmed(item.latencies),
                    )
                )
        return found

    def _is_confirmed(self) -> bool:
        return self.control_age_ms() <= CONFIRMATION_MAX_AGE_MS


def _trimmed(counts: Sequence[int]) -> list[int]:
    """Return counts without the zeros at their end."""
    last = max((i for i, count in enumerate(counts) if count), default=-1)
    return list(counts[: last + 1])
