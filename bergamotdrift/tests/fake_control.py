"""Fake of the operator API that control replicas serve."""

import falcon

from bergamotdrift.config.check import check_site
from bergamotdrift.exceptions import ERROR_ANSWERS, ErrorKind
from bergamotdrift.hashing import key_digest
from bergamotdrift.http_server import HttpServer

OPERATOR_KEY = "operator-secret"


class FakeSite:
    """State shared by all replicas of a fake control group."""

    def __init__(self):
        self.revision = 0
        self.author = ""
        self.settings = None
        self.answers = {}
        self.posts = []

    def apply(self, change):
        self.posts.append(change["request"])
        answer = self.answers.get(change["request"])
        if answer is None:
            answer = self.answers[change["request"]] = self._decide(change)
        return answer

    def _decide(self, change):
        problems = check_site(change["settings"]).swap().value_or([])
        if problems:
            details = [{"path": p.path, "message": p.message} for p in problems]
            return refusal(ErrorKind.INVALID_SETTINGS, problems=details)
        if change["base_revision"] != self.revision:
            return refusal(
                ErrorKind.REVISION_CONFLICT, revision=self.revision, author=self.author
            )
        self.revision += 1
        self.author = change["author"]
        self.settings = change["settings"]
        return falcon.HTTP_200, {"revision": self.revision, "outcome": "accepted"}


def refusal(kind, **extra):
    answer = ERROR_ANSWERS[kind]
    body = {"error": kind, "not_run": answer.not_run, "message": answer.text}
    return f"{answer.status} {kind}", body | extra


class FakeReplica:
    """Fake replica; `faults` lists the faults to inject into the next requests."""

    def __init__(self, site):
        self.site = site
        self.faults = []
        app = falcon.App()
        app.add_route("/v1/settings", self)
        app.add_route("/v1/status", self, suffix="status")
        app.add_route("/v1/audit", self, suffix="audit")
        self.server = HttpServer("127.0.0.1:0", app)
        self.server.start()

    @property
    def address(self):
        return self.server.address

    def on_get(self, req, resp):
        site = self.site
        body = {
            "revision": site.revision,
            "author": site.author,
            "settings": site.settings,
        }
        self._answer(req, resp, lambda: (falcon.HTTP_200, body))

    def on_post(self, req, resp):
        change = req.media
        self._answer(req, resp, lambda: self.site.apply(change))

    def on_get_status(self, req, resp):
        nodes = [{"node": "entry-1", "zone": "hm-a"}, {"node": "e\x1b[2J", "vm": "v"}]
        control = {"leader": "control-1", "members": [{"replica": "control-1"}]}
        body = {"control": control, "term": 3, "nodes": nodes, "shards": []}
        self._answer(req, resp, lambda: (falcon.HTTP_200, body))

    def on_get_audit(self, req, resp):
        after, limit = req.get_param_as_int("after"), req.get_param_as_int("limit")
        numbers = range(after + 1, 9)[:limit]
        rows = [
            {"number": n, "author": "ann", "kind": "", "at_ms": 0, "changes": ["x"]}
            for n in numbers
        ]
        self._answer(req, resp, lambda: (falcon.HTTP_200, {"rows": rows}))

    def _answer(self, req, resp, handle):
        operator_key = (req.get_header("Authorization") or "").removeprefix("Bearer ")
        fault = self.faults.pop(0) if self.faults else None
        if key_digest(operator_key) != key_digest(OPERATOR_KEY):
            resp.status, resp.media = refusal(ErrorKind.UNAUTHENTICATED)
        elif fault == "lose answer":
            handle()
            resp.data = b"cut off"
        elif fault is not None:
            resp.status, resp.media = fault
        else:
            resp.status, resp.media = handle()
