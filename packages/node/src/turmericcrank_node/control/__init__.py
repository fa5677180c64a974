"""Controls rollouts: version evidence, leases, phases and ratings."""
