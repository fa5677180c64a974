"""Serves clients: connections, requests, streams, addresses."""
