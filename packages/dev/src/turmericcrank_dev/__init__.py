"""Fakes of external systems, load generator, benchmarks and demo."""
