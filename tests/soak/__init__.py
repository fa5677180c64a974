"""A soak of real processes, judged by what clients and upstreams see."""
