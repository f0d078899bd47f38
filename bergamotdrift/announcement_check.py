"""Validation of upstream announcements against the settings."""

import ipaddress
import re

from bergamotdrift.config.schema import SiteSettings
from bergamotdrift.messages import Announcement
from bergamotdrift.streams import parse_address

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
_MAX_SHOWN_CHARS = 64


def check_announcement(item: Announcement, settings: SiteSettings | None) -> str:
    """Return the error in an announcement, or an empty string if it is valid."""
    if settings is None:
        return "no settings have been accepted yet"
    service = settings.service(item.service)
    if service is None:
        return f"unknown service {item.service[:_MAX_SHOWN_CHARS]!r}"
    if not any(zone.name == item.zone for zone in settings.zones):
        return f"unknown availability zone {item.zone[:_MAX_SHOWN_CHARS]!r}"
    for field in ("upstream", "incarnation"):
        if not _NAME.fullmatch(getattr(item, field)):
            return f"{field} must be 1 to 128 letters, digits or any of . _ : -"
    return _check_address(item.address)


def _check_address(address: str) -> str:
    try:
        host, port = parse_address(address)
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return f"address {address[:_MAX_SHOWN_CHARS]!r} is not an IP address and a port"
    if not 0 < port < 65536:
        return f"address {address[:_MAX_SHOWN_CHARS]!r} has no valid port"
    return ""
