"""Minimal falcon and geventhttpclient proxy, the baseline for added latency."""

import sys
from typing import Any

import falcon
import gevent
from geventhttpclient import HTTPClient

from bergamotdrift.http_server import HttpServer

_CONNECTIONS = 64
_SERVICE_HEADERS = {"X-Workspace": "baseline"}


class BareProxy:
    """Forward requests without bodies to one upstream over a connection pool."""

    def __init__(self, address: str):
        self._client = HTTPClient.from_url(
            f"http://{address}", concurrency=_CONNECTIONS
        )

    def __call__(self, req: falcon.Request, resp: falcon.Response, **_: Any) -> None:
        """Forward one request."""
        response = self._client.request(req.method, req.path, headers=_SERVICE_HEADERS)
        resp.data = response.read()
        resp.status = response.status_code


def main() -> None:
    """Listen on the first argument and forward to the upstream in the second."""
    listen, upstream = sys.argv[1:3]
    app = falcon.App()
    app.add_sink(BareProxy(upstream))
    HttpServer(listen, app).start()
    gevent.wait()


if __name__ == "__main__":
    main()
