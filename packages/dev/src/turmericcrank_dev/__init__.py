"""Stand-ins for the outside systems, load tool, bench and demo."""
