"""Selects upstreams, sends requests to them and detects failures."""
