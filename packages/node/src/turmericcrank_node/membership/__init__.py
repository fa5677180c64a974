"""Membership: exchanges state between the nodes."""
