"""Stand-ins for the platform's store, workers and clients, for the cases."""
