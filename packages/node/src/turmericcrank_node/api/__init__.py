"""HTTP API of a node: model calls, services, drafts and operator calls."""
