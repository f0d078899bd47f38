"""Match requests to routes, services and routing keys."""

import re
from collections.abc import Iterable
from typing import NamedTuple
from urllib.parse import unquote_to_bytes

from returns.result import Failure, Result, Success

from bergamotdrift.config.schema import (
    RouteSettings,
    ServiceKind,
    ServiceSettings,
    SiteSettings,
)
from bergamotdrift.dialect import NATIVE, Dialect
from bergamotdrift.exceptions import ErrorKind, Refusal
from bergamotdrift.request import ANONYMOUS, IncomingRequest, RoutedRequest
from bergamotdrift.request_target import origin_form
from bergamotdrift.route_split import RouteSplits
from bergamotdrift.routing_key import key_number

_BAD_ESCAPE = re.compile(r"%(?![0-9A-Fa-f]{2})")
# Fast path: most paths need no decoding and no safety checks.
_PLAIN_PATH = re.compile(r"(?:/[A-Za-z0-9_~-][A-Za-z0-9._~-]*)+")
_DEADLINE = re.compile(r"[0-9]{1,9}")
_WILDCARD = "*"
# In the services of a workspace, allows all services.
ALL_SERVICES = "*"


_SEGMENT_RANKS = {"{": 1, _WILDCARD: 2}


class _Template(NamedTuple):
    """Match paths against the segments of a route's path template."""

    route: RouteSettings
    segments: tuple[str, ...]

    def match(self, segments: list[str]) -> dict[str, str] | None:
        """Return the path variables, or None if the path does not match."""
        patterns = self.segments
        if patterns[-1] == _WILDCARD:
            patterns = patterns[:-1]
            if len(segments) <= len(patterns):
                return None
        elif len(segments) != len(patterns):
            return None
        variables = {}
        for pattern, segment in zip(patterns, segments, strict=False):
            if pattern.startswith("{"):
                variables[pattern[1:-1]] = segment
            elif pattern != segment:
                return None
        return variables

    def rank(self) -> tuple[int, ...]:
        """Return a sort key: literal segments first, then variables, then `*`."""
        return tuple(_SEGMENT_RANKS.get(part[:1], 0) for part in self.segments)


class _Match(NamedTuple):
    """Pair a matched route with its path variables."""

    route: RouteSettings
    variables: dict[str, str]


def split_path(target: str) -> list[str] | None:
    """Return the decoded path segments of a request target, or None if unsafe."""
    if _PLAIN_PATH.fullmatch(target):
        return target[1:].split("/")
    path = origin_form(target).partition("?")[0]
    if not path.startswith("/") or "#" in path or _BAD_ESCAPE.search(path):
        return None
    segments = []
    for part in path[1:].split("/"):
        try:
            segment = unquote_to_bytes(part).decode()
        except UnicodeDecodeError:
            return None
        if not _is_safe(segment):
            return None
        segments.append(segment)
    return segments


def _is_safe(segment: str) -> bool:
    if segment in {".", ".."} or "/" in segment or "\\" in segment:
        return False
    # Some servers strip path parameters, so "..;" would name the parent directory.
    if segment.partition(";")[0] in {".", ".."}:
        return False
    return not any(ord(char) < 0x20 or ord(char) == 0x7F for char in segment)


class RouteTable:
    """Match paths against the routes of one settings revision."""

    def __init__(
        self,
        settings: SiteSettings,
        dialect: Dialect = NATIVE,
        splits: RouteSplits | None = None,
    ):
        self.dialect = dialect
        self._templates = sorted(
            (_template(route) for route in settings.routes if not route.host),
            key=_Template.rank,
        )
        self._host_routes = _HostRoutes(settings.routes)
        self._splits = RouteSplits() if splits is None else splits
        self._splits.update_routes(settings.routes)
        self._ranks = {w.name: w.rank for w in settings.workspaces}
        self._services = {service.name: service for service in settings.services}
        self._allowed = {
            workspace.name: frozenset(workspace.services)
            for workspace in settings.workspaces
        }

    def match(
        self, method: str, target: str, host: str = ""
    ) -> Result[_Match, Refusal]:
        """Return the route with the longest literal match.

        Kinds: MALFORMED_REQUEST, NO_ROUTE, METHOD_NOT_ALLOWED.
        """
        host_route = self._host_routes.match(host, target)
        if host_route is not None:
            return Success(_Match(host_route, {}))
        segments = split_path(target)
        if segments is None:
            return Failure(Refusal(ErrorKind.MALFORMED_REQUEST, "unsafe path"))
        found = False
        for template in self._templates:
            variables = template.match(segments)
            if variables is None:
                continue
            found = True
            if method in template.route.methods:
                return Success(_Match(template.route, variables))
        kind = ErrorKind.METHOD_NOT_ALLOWED if found else ErrorKind.NO_ROUTE
        return Failure(Refusal(kind))

    def select_service(
        self, route: RouteSettings, req: IncomingRequest, current_service: str = ""
    ) -> ServiceSettings:
        """Return the service that serves a request of a route.

        A request that was already routed keeps its `current_service` if the route still
        has it.
        """
        if not route.split:
            return self._services[route.service]
        if any(share.service == current_service for share in route.split):
            return self._services[current_service]
        stated = req.header(self.dialect.routing_key.lower()) or ""
        return self._splits.next(route, self._services, stated, req.body.length)

    def rank_of(self, workspace: str) -> int | None:
        """Return the priority rank of a workspace, or None to use the route's."""
        return self._ranks.get(workspace)

    def may_use(self, workspace: str, service: str) -> bool:
        """Return True if a workspace may use a service."""
        allowed = self._allowed.get(workspace, frozenset())
        return service in allowed or ALL_SERVICES in allowed


class _HostRoutes:
    """Match the routes of hosts by the longest path prefix."""

    def __init__(self, routes: Iterable[RouteSettings]):
        self._routes = {
            (route.host, route.path.removesuffix(_WILDCARD)): route
            for route in routes
            if route.host
        }

    def match(self, host: str, target: str) -> RouteSettings | None:
        """Return the route of a host and request target, or None."""
        if not self._routes:
            return None
        path = origin_form(target).partition("?")[0]
        name = host.partition(":")[0].lower()
        end = path.rfind("/")
        while end >= 0:
            route = self._routes.get((name, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def _template(route: RouteSettings) -> _Template:
    return _Template(route, tuple(route.path[1:].split("/")))


def route(
    req: IncomingRequest,
    identity: Result[str, Refusal],
    table: RouteTable,
    current_service: str = "",
) -> Result[RoutedRequest, Refusal]:
    """Return the routed and authorized request.

    `current_service` is the service of a request that is checked against new settings.
    Kinds: those of RouteTable.match, UNAUTHENTICATED, FORBIDDEN, BODY_TOO_LARGE.
    """
    host = req.header("host") or ""

    def authorize(match: _Match) -> Result[RoutedRequest, Refusal]:
        service = table.select_service(match.route, req, current_service)
        return _authorize(req, identity, table, match, service)

    return table.match(req.method, req.target, host).bind(authorize)


def _authorize(
    req: IncomingRequest,
    identity: Result[str, Refusal],
    table: RouteTable,
    match: _Match,
    service: ServiceSettings,
) -> Result[RoutedRequest, Refusal]:
    workspace = identity.value_or(ANONYMOUS)
    if not match.route.open:
        if not workspace:
            return Failure(Refusal(ErrorKind.UNAUTHENTICATED))
        if not table.may_use(workspace, service.name):
            return Failure(Refusal(ErrorKind.FORBIDDEN))
    elif not table.may_use(workspace, service.name):
        workspace = ANONYMOUS
    return _build_routed_request(req, workspace, match, service, table)


def _build_routed_request(
    req: IncomingRequest,
    workspace: str,
    match: _Match,
    service: ServiceSettings,
    table: RouteTable,
) -> Result[RoutedRequest, Refusal]:
    timeout_ms = match.route.timeout_ms or service.request_timeout_ms
    stated = req.header(table.dialect.deadline.lower())
    if stated is not None:
        if not _DEADLINE.fullmatch(stated):
            return Failure(Refusal(ErrorKind.MALFORMED_REQUEST, "invalid deadline"))
        timeout_ms = min(timeout_ms, int(stated))
    length = req.body.length
    if length is not None and length > match.route.max_body_bytes:
        return Failure(Refusal(ErrorKind.BODY_TOO_LARGE))
    routing_key = _routing_key(req, match, service, table.dialect)
    if routing_key is None:
        return Failure(Refusal(ErrorKind.MALFORMED_REQUEST, "no valid routing key"))
    return Success(
        RoutedRequest(
            req,
            workspace,
            match.route,
            service,
            routing_key,
            req.received_ms + timeout_ms,
            rank=table.rank_of(workspace),
        )
    )


def _routing_key(
    req: IncomingRequest, match: _Match, service: ServiceSettings, dialect: Dialect
) -> str | None:
    """Return the routing key, empty for a pool, or None if there is no valid key."""
    if service.kind is ServiceKind.RANGED:
        stated = req.header(dialect.routing_key.lower()) or ""
        return stated if key_number(stated) is not None else None
    found = match.variables.get(match.route.key, "")
    return None if service.kind is ServiceKind.KEYED and not found else found
