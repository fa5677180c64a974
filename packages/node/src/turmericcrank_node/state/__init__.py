"""Holds the state of one node and keeps it in sync with the store."""
