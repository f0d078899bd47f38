"""Timeouts, intervals and limits shared by the programs."""

RAFT_HEARTBEAT_MS = 100
ELECTION_TIMEOUT_MIN_MS = 400
ELECTION_TIMEOUT_MAX_MS = 800

PING_INTERVAL_MS = 250
ANNOUNCE_INTERVAL_MS = 500
SESSION_TTL_MS = 1500
# A lease holder stops this long before the grantor expires the lease, in case their
# clocks drift apart.
DRIFT_MARGIN_MS = 100

STREAM_HEARTBEAT_MS = 300
STREAM_READ_DEADLINE_MS = 1500
STREAM_CONNECT_TIMEOUT_MS = 500
STREAM_QUEUE_FRAMES = 4096
STREAM_MAX_FRAME_BYTES = 16 * 1024 * 1024

# A settings change is in force 2 s after its confirmation. The rest of the 2 s is for
# requests on their way.
SETTINGS_MAX_AGE_MS = 1800
PERMIT_WAIT_MS = 2500
TOKEN_LEASE_MS = 200
ZONE_OUT_GRACE_MS = 3000

RETRY_BODY_BYTES = 64 * 1024
# Responses that end with the connection are buffered whole up to this size, and refused
# above it.
CLOSE_DELIMITED_MAX_BYTES = 4 * 1024 * 1024
RETRY_BUDGET_RATIO = 0.1
RETRY_BUDGET_MIN_PER_S = 3.0

# Keys of a keyed service whose upstreams don't check epochs are served again only after
# this timeout, which has to be within 3 s of the loss of their upstream.
UNFENCED_REQUEST_TIMEOUT_MAX_MS = 1000
