"""Replicated evacuations of availability zones."""

from typing import Any

from bergamotdrift import control_commands as cmd


class ZoneEvacuations:
    """Hold the evacuated zones; `changed_at` is the log index of the last change."""

    def __init__(self) -> None:
        self.zones: set[str] = set()
        self.changed_at = 0
        # Log index of the last accepted order on each zone, also if it changed nothing.
        self._last_orders: dict[str, int] = {}

    def last_order(self, zone: str) -> int:
        """Return the log index of the last accepted order on a zone, or 0."""
        return self._last_orders.get(zone, 0)

    def apply(self, index: int, order: cmd.SetEvacuation) -> cmd.EvacuationOutcome:
        """Apply an order, or refuse a change that is older than the last order."""
        zone, previous = order.zone, order.previous_order
        is_change = order.evacuated != (zone in self.zones)
        if is_change and previous not in {None, self.last_order(zone)}:
            return cmd.EvacuationOutcome(False, 0)
        # Replicas of an earlier release keep no record of orders without `previous`.
        if previous is not None:
            self._last_orders[zone] = index
        if not is_change:
            return cmd.EvacuationOutcome(True, 0)
        if order.evacuated:
            self.zones.add(zone)
        else:
            self.zones.remove(zone)
        self.changed_at = index
        return cmd.EvacuationOutcome(True, 1)

    def dump(self) -> list[Any]:
        """Return the content for a snapshot."""
        return [sorted(self.zones), self.changed_at, self._last_orders]

    def load(self, fields: list[Any]) -> None:
        """Replace the content with that of a snapshot, maybe of an earlier release."""
        zones, self.changed_at, *orders = fields or ([], 0)
        self.zones = set(zones)
        self._last_orders = orders[0] if orders else {}
