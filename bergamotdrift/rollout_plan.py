"""Steps of rollouts at the control leader.

A new version gets a small share of the requests until near the end of the rollout, then
for a moment a larger one, so that faults under load show, then everything. The evidence
is the sum of what all entries report in their pings. Any significant difference from
the old version rolls it back at once.
"""

from collections.abc import Callable, Mapping, Sequence

from bergamotdrift import control_commands as cmd
from bergamotdrift.config.schema import RolloutBounds, ServiceKind, ServiceSettings
from bergamotdrift.control_state import ControlState
from bergamotdrift.messages import (
    FULL_SHARE_PERMILLE,
    Message,
    NodeRow,
    PartitionState,
    Role,
    RolloutRow,
    RolloutState,
    UpstreamRow,
    UpstreamState,
    VersionResult,
)
from bergamotdrift.rollout_orders import versions_in_use
from bergamotdrift.rollout_reports import Report, Sums, Watch
from bergamotdrift.rollout_schedule import (
    END_RESERVE_MS,
    MIN_FULL_MS,
    MIN_RESPONSES,
    Demand,
    schedule_of,
    share_before_full,
)
from bergamotdrift.version_results import (
    Fault,
    find_fault,
    mean_latency_ms,
    total,
)

DEFAULT_BOUNDS = RolloutBounds(0.1, 50.0, 5000.0)
# Change of a share that is worth a command.
_MIN_RELATIVE_SHARE_CHANGE = 0.2
# Planning one rollout with the reports of 86 entries took 1.3 ms on aarch64.
PLAN_INTERVAL_MS = 150.0
# Each change of the share is a command and an update of every entry.
_MIN_STEP_INTERVAL_MS = 500.0
# An entry whose session ended may have sent requests until its settings became stale.
_STALE_SENDER_MS = 600.0


class RolloutPlanner:
    """Plan the steps of all running rollouts.

    It does no I/O and reads no clock; callers pass the time. `unix_offset_ms` is added
    to get Unix time, by which rollouts are timed across leaders.
    """

    def __init__(
        self,
        state: ControlState,
        bounds: RolloutBounds | None,
        unix_offset_ms: float = 0.0,
    ):
        self._state = state
        self._bounds = bounds or DEFAULT_BOUNDS
        self._unix_offset_ms = unix_offset_ms
        self._watches: dict[str, Watch] = {}

    def add_results(
        self, node: str, feed_index: int, results: Sequence[VersionResult]
    ) -> None:
        """Replace what an entry reported of each rollout."""
        for service in {item.service for item in results}:
            watch = self._watch(service)
            if watch is None:
                continue
            mine = [
                item
                for item in results
                if item.service == service and item.rollout == watch.number
            ]
            row = self._state.rows.nodes.get(node)
            if mine:
                watch.reports[node] = Report(row, feed_index, mine)

    def record_left(self, node: str) -> None:
        """Record that an entry ended its requests and its session."""
        for watch in self._watches.values():
            report = watch.reports.get(node)
            if report is not None:
                watch.reports[node] = report._replace(has_left=True)

    def commands(self, now_ms: float) -> list[Message]:
        """Return the steps that are due."""
        rows = list(self._state.rows.rollouts.rows())
        running = [row for row in rows if row.state is RolloutState.RUNNING]
        names = {row.service for row in running}
        self._watches = {k: w for k, w in self._watches.items() if k in names}
        commands = []
        for row in running:
            service = self._state.service(row.service)
            watch = self._watch(row.service)
            if service is None or watch is None:
                continue
            if now_ms - watch.planned_ms >= PLAN_INTERVAL_MS:
                watch.planned_ms = now_ms
                step = _Plan(self, service, row, watch, now_ms).next_step()
                commands += [step] if step is not None else []
        return commands

    def _watch(self, service: str) -> Watch | None:
        """Return the reports on the running rollout of a service, or None."""
        row = self._state.rows.rollouts.get(service)
        if row is None or row.state is not RolloutState.RUNNING:
            return None
        watch = self._watches.get(service)
        if watch is None or watch.number != row.number:
            watch = self._watches[service] = Watch(row.number)
        return watch


class _Plan:
    """Plan the next step of one rollout."""

    def __init__(
        self,
        planner: RolloutPlanner,
        service: ServiceSettings,
        row: RolloutRow,
        watch: Watch,
        now_ms: float,
    ):
        self._state = planner._state
        self._bounds = planner._bounds
        self._service = service
        self._row = row
        self._watch = watch
        self._now_ms = now_ms
        unix_ms = now_ms + planner._unix_offset_ms
        # The clocks of two leaders may differ.
        self._elapsed_ms = max(0.0, unix_ms - row.started_ms)
        self._sums = watch.sums(row.target)
        self._schedule = schedule_of(row.duration_ms, self._is_ranged)

    @property
    def _is_ranged(self) -> bool:
        return self._service.kind is ServiceKind.RANGED

    @property
    def _is_full(self) -> bool:
        return self._row.share_permille >= FULL_SHARE_PERMILLE

    def next_step(self) -> cmd.StepRollout | None:
        """Return the next step, or None if none is due."""
        fault = self._fault()
        self._watch.add_sample(self._sums, self._now_ms)
        if fault is not None:
            return self._roll_back(_describe(fault))
        self._mark_lost_entries()
        if self._is_full:
            return self._step_when_full()
        if not self._has_other_version() and self._target_slots():
            # Nothing else can serve the requests.
            return self._share(FULL_SHARE_PERMILLE, "no other version is left")
        if self._elapsed_ms >= self._row.duration_ms - END_RESERVE_MS:
            return self._roll_back(f"not_ready:{self._why_not_full()}")
        if self._elapsed_ms >= self._schedule.full_at_ms and not self._why_not_full():
            return self._share(FULL_SHARE_PERMILLE, "moved")
        return self._step_before_full()

    def _mark_lost_entries(self) -> None:
        """Record since when entries that reported are not registered any more."""
        registered = {row.node for row in self._state.rows.nodes.rows()}
        lost_at_ms = self._watch.lost_at_ms
        for node in self._watch.reports:
            if node in registered:
                lost_at_ms.pop(node, None)
            else:
                lost_at_ms.setdefault(node, self._now_ms)

    def _has_other_version(self) -> bool:
        in_use = versions_in_use(self._state.rows, self._row.service)
        return bool(in_use - {self._row.target})

    def _fault(self) -> Fault | None:
        samples = self._watch.samples
        periods = [self._sums] + [self._sums.since(item) for _, item in samples]
        faults = (self._fault_in(period) for period in periods)
        return next((fault for fault in faults if fault is not None), None)

    def _fault_in(self, period: Sums) -> Fault | None:
        """Return how the new version was worse in a period, or None.

        The old version is compared over the whole time, since all of it counts, and in
        the period if it served any: an overload makes both versions worse.
        """
        fault = find_fault(period.new, self._sums.old)
        if fault is None or total(period.old.values()).ended < MIN_RESPONSES:
            return fault
        return find_fault(period.new, period.old)

    def _step_before_full(self) -> cmd.StepRollout | None:
        if self._is_ranged and self._elapsed_ms >= self._schedule.load_at_ms:
            # Ranges that begin to move now arrive after everything moves.
            return None
        if self._now_ms - self._watch.stepped_ms < _MIN_STEP_INTERVAL_MS:
            return None
        permille = share_before_full(
            self._bounds, self._schedule, self._demand(), self._elapsed_ms
        )
        if permille is None:
            return None
        current = self._row.share_permille
        if permille > current and not self._has_room(permille):
            return None
        if abs(permille - current) <= _MIN_RELATIVE_SHARE_CHANGE * current:
            return None
        return self._share(permille, "share")

    def _demand(self) -> Demand:
        new, old = total(self._sums.new.values()), total(self._sums.old.values())
        return Demand(new.sent, new.ended, old.sent)

    def _why_not_full(self) -> str:
        """Return why not everything can move yet, or an empty string."""
        if not self._target_slots():
            return "no upstream of the version is ready"
        demand = self._demand()
        is_late = self._elapsed_ms >= self._schedule.latest_at_ms
        needed = MIN_RESPONSES // 4 if is_late else MIN_RESPONSES
        has_traffic = demand.sent > self._bounds.exposure_slack
        if demand.new_ended < needed and (has_traffic or not is_late):
            return f"{demand.new_ended} responses"
        room = FULL_SHARE_PERMILLE // 2 if is_late else FULL_SHARE_PERMILLE
        return "" if self._has_room(room) else "too few slots"

    def _has_room(self, permille: int) -> bool:
        """Return whether the new version has the slots for a share of a pool.

        In a keyed service, each upstream gets its keys as it has capacity.
        """
        if self._is_ranged:
            return True
        part = permille / FULL_SHARE_PERMILLE
        if self._target_slots() >= part * self._slots(self._is_usable_old):
            return True
        demand = self._demand()
        per_ms = demand.sent / max(1.0, self._elapsed_ms)
        old, new = self._sums.old.values(), self._sums.new.values()
        mean_ms = mean_latency_ms(total(old)) or mean_latency_ms(total(new))
        return self._target_slots() >= per_ms * mean_ms * part

    def _target_slots(self) -> int:
        """Return the slots of the new version's warm upstreams."""
        return self._slots(
            lambda row: row.version == self._row.target and self._is_usable(row)
        )

    def _slots(self, is_counted: Callable[[UpstreamRow], bool]) -> int:
        return sum(
            row.slots or self._service.slots
            for row in self._state.rows.upstreams.rows()
            if row.service == self._row.service and is_counted(row)
        )

    def _is_usable(self, row: UpstreamRow) -> bool:
        is_warm = row.state is UpstreamState.READY
        return is_warm and row.zone not in self._state.evacuations.zones

    def _is_usable_old(self, row: UpstreamRow) -> bool:
        return row.version != self._row.target and self._is_usable(row)

    # Completion

    def _step_when_full(self) -> cmd.StepRollout | None:
        watch = self._watch
        if watch.full_since_ms is None:
            watch.full_since_ms = self._now_ms
        if not self._target_slots() and not self._has_registered_target():
            return self._roll_back("not_ready:no upstream of the version is left")
        if watch.moved_index is None and self._has_moved():
            watch.moved_index = self._moved_index()
        if watch.moved_index is None:
            return None
        has_shown = self._now_ms - watch.full_since_ms >= MIN_FULL_MS
        if not has_shown or not self._is_old_idle(watch.moved_index):
            return None
        return self._step(RolloutState.COMPLETED, FULL_SHARE_PERMILLE, "completed")

    def _has_registered_target(self) -> bool:
        """Return whether upstreams of the new version are registered, warm or cold."""
        return any(
            row.service == self._row.service
            and row.version == self._row.target
            and row.state is not UpstreamState.LEAVING
            for row in self._state.rows.upstreams.rows()
        )

    def _has_moved(self) -> bool:
        """Return whether no upstream of another version holds keys."""
        if not self._is_ranged:
            return True
        targets = {
            (row.upstream, row.incarnation)
            for row in self._state.rows.upstreams.rows()
            if row.service == self._row.service and row.version == self._row.target
        }
        return all(
            row.state is PartitionState.OWNED
            and (row.upstream, row.incarnation) in targets
            for row in self._state.rows.ranges_of(self._row.service)
        )

    def _moved_index(self) -> int:
        """Return the feed index whose tables leave the old versions no requests."""
        if self._is_ranged:
            return self._state.feed_index
        return self._state.rows.rollouts.changed_at(self._row.service)

    def _is_old_idle(self, index: int) -> bool:
        """Return whether nothing runs at old versions, nor will any more."""
        rows = self._state.rows.nodes.rows()
        entries = {row.node: row for row in rows if row.role is Role.ENTRY}
        for node in entries:
            report = self._watch.reports.get(node)
            if report is None or not self._is_done(report, index):
                return False
        return all(
            self._is_done(report, index) or self._has_waited(node, report, entries)
            for node, report in self._watch.reports.items()
            if node not in entries
        )

    def _is_done(self, report: Report, index: int) -> bool:
        running = sum(
            item.running for item in report.results if item.version != self._row.target
        )
        return report.has_left or (report.feed_index >= index and not running)

    def _has_waited(
        self, node: str, report: Report, entries: Mapping[str, NodeRow]
    ) -> bool:
        """Return whether the requests of an entry that is gone have ended.

        The next process of its VM shows that it has ended. An entry that is only cut
        off may go on until the requests that it sent have timed out.
        """
        vm = report.row.vm if report.row is not None else ""
        if vm and any(row.vm == vm for row in entries.values()):
            return True
        lost_ms = self._watch.lost_at_ms.setdefault(node, self._now_ms)
        return self._now_ms - lost_ms >= self._longest_ms() + _STALE_SENDER_MS

    def _longest_ms(self) -> float:
        """Return the longest time that a request of the service may take."""
        settings = self._state.settings.current
        name = self._row.service
        timeouts = [
            route.timeout_ms or self._service.request_timeout_ms
            for route in (settings.routes if settings is not None else ())
            if route.service == name or any(s.service == name for s in route.split)
        ]
        return max(timeouts, default=self._service.request_timeout_ms)

    # Commands

    def _roll_back(self, reason: str) -> cmd.StepRollout:
        return self._step(RolloutState.ROLLED_BACK, 0, reason)

    def _share(self, permille: int, reason: str) -> cmd.StepRollout:
        self._watch.stepped_ms = self._now_ms
        demand = self._demand()
        text = f"{reason}:{demand.new_sent} of {demand.sent} sent"
        return self._step(RolloutState.RUNNING, permille, text)

    def _step(self, state: RolloutState, permille: int, reason: str) -> cmd.StepRollout:
        row = self._row
        return cmd.StepRollout(row.service, row.number, state, permille, reason)


def _describe(fault: Fault) -> str:
    route = fault.route or "all"
    return (
        f"{fault.kind}:{fault.bad} of {fault.of} on {route}, "
        f"expected {fault.expected:.2f}"
    )
