"""Tunnels: connections to an upstream through another node."""
