"""Decisions of the router: data in, decision out, no input or output."""
