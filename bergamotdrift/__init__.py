"""HTTP router for upstreams, some of which own routing keys exclusively."""

__version__ = "0.1.0"
