"""Settings, rows and a fake control server shared by the arbiter's tests."""

from bergamotdrift.arbiter_messages import (
    PermitRequest,
    Resume,
)
from bergamotdrift.config.schema import (
    ColdStartSettings,
    Fencing,
    ServiceKind,
    ServiceSettings,
    SiteSettings,
    WorkspaceSettings,
    ZoneSettings,
    ZoneState,
)
from bergamotdrift.messages import (
    AnnouncementReplies,
    AnnouncementReply,
    Done,
    FeedUpdate,
    Hello,
    NodeRow,
    PartitionEpoch,
    Ping,
    Pong,
    RelayAnnouncements,
    Role,
    ShardRow,
    UpstreamRow,
    UpstreamState,
)
from bergamotdrift.shard_view import ShardView
from bergamotdrift.streams import StreamServer
from bergamotdrift.takeover import EntryId

POOL = "pool:archive"


def service(name="archive", kind=ServiceKind.POOL, ramp_s=0.0, **changes):
    base = ServiceSettings(
        name, kind, 16, Fencing.EPOCH, 2, 20, ColdStartSettings(1, ramp_s), 1000, 50
    )
    return base._replace(**changes)


def upstream(name, service_name="archive", **changes):
    row = UpstreamRow(
        service_name, name, "127.0.0.1:1", "z1", "i1", UpstreamState.READY
    )
    return row._replace(**changes)


def entry(number, incarnation="i1"):
    return EntryId(f"e{number}", incarnation)


def pool_view(upstream_count=2, entry_count=1, **changes):
    view = ShardView(
        1,
        service(),
        tuple(upstream(f"u{n}") for n in range(upstream_count)),
        (),
        frozenset(entry(n) for n in range(entry_count)),
        frozenset(),
    )
    return view._replace(**changes)


def permit_request(number, workspace="w", shard=POOL, epoch=1, **changes):
    req = PermitRequest(f"r{number}", 0, shard, epoch, -1, 0, 0, workspace, False, 1000)
    return req._replace(**changes)


def resume(shard=POOL, epoch=1, permits=(), kept=(), records=()):
    return Resume(shard, epoch, list(permits), list(kept), list(records))


def workspace(name="w", rate=100.0, burst=20):
    return WorkspaceSettings(name, rate, burst, (), ("archive",))


def site():
    return SiteSettings(
        "test",
        (ZoneSettings("z1", ZoneState.IN),),
        (service(),),
        (),
        (workspace(),),
    )


def entry_row(number):
    return NodeRow(f"e{number}", Role.ENTRY, "i1", f"vm{number}", "z1", "")


def arbiter_row(name, address):
    return NodeRow(name, Role.ARBITER, "i1", f"vm-{name}", "z1", address)


def full_feed(index=1, arbiter="a1", epoch=1, entries=1, upstreams=(), nodes=()):
    return FeedUpdate(
        0,
        index,
        True,
        1,
        site(),
        [*(entry_row(number) for number in range(entries)), *nodes],
        list(upstreams),
        [],
        [ShardRow(POOL, arbiter, epoch), ShardRow("workspace:w", arbiter, epoch)],
        [],
        [],
    )


class FakeControl:
    """Replies to pings and relayed announcements, and pushes a given feed."""

    def __init__(self, feed):
        self.feed = feed
        self.received = []
        self.conns = []
        self.silent = False
        hello = Hello("test", "c1", Role.CONTROL, "i1")
        self.server = StreamServer("127.0.0.1:0", hello, self)
        self.server.start()

    def push(self, feed):
        self.feed = feed
        for conn in self.conns:
            conn.send(feed)

    def on_open(self, conn):
        self.conns.append(conn)

    def on_close(self, conn):
        self.conns.remove(conn)

    def on_message(self, conn, number, msg):
        self.received.append(msg)
        if self.silent:
            return
        if isinstance(msg, Ping):
            if msg.feed_index < self.feed.to_index:
                conn.send(self.feed)
            conn.reply(number, Pong("c1", 1, self.feed.to_index, 1500))
        elif isinstance(msg, RelayAnnouncements):
            replies = [
                AnnouncementReply(
                    item.service, item.upstream, 1500, [PartitionEpoch(1, 2)], []
                )
                for item in msg.items
            ]
            conn.reply(number, AnnouncementReplies(replies))
        else:
            conn.reply(number, Done())
