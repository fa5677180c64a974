"""Sends requests to upstreams."""
