"""Parses network addresses."""

__all__ = ('split_address',)


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:port`` into host and port number.

    Example:
        >>> split_address('10.1.0.40:8227')
        ('10.1.0.40', 8227)
    """
    host, _, port = address.rpartition(':')
    return host, int(port)
