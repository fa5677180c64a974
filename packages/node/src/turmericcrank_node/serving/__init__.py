"""Serves clients: connections, requests, streams and node endpoints."""
