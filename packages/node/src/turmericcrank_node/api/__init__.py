"""The interface of its own: model calls, services, drafts, operators."""
