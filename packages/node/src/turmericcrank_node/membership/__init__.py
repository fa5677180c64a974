"""Hears the other nodes and tells them what this one knows."""
