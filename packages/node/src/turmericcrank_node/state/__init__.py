"""Holds what one node knows, and reads the platform's store."""
