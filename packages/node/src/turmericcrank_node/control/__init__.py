"""Moves roll-outs."""
