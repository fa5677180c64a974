"""Stand-ins of the second review: a store, upstreams, clients and nodes."""
