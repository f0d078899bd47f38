"""Stand-ins of clients, backends and operators for the cases of the review."""
