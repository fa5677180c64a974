"""Simulations that run the real core against simulated backends."""
