"""Names of shards, the units of arbitration."""


def upstream_shard(service: str, upstream: str) -> str:
    """Return the name of the shard of one upstream of a keyed service."""
    return f"upstream:{service}/{upstream}"


def pool_shard(service: str) -> str:
    """Return the name of a pool's shard."""
    return f"pool:{service}"


def workspace_shard(workspace: str) -> str:
    """Return the name of a workspace's shard."""
    return f"workspace:{workspace}"
