"""HTTP methods that a route may accept."""

from enum import StrEnum


class Method(StrEnum):
    """List the HTTP methods."""

    GET = "GET"
    HEAD = "HEAD"
    POST = "POST"
    PUT = "PUT"
    PATCH = "PATCH"
    DELETE = "DELETE"
    OPTIONS = "OPTIONS"
