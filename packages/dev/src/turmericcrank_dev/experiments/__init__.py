"""Experiments that drive the real core against modelled back ends."""
