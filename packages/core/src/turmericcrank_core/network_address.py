"""Parses network addresses."""

import ipaddress

__all__ = ('is_valid_address', 'split_address')

_MAX_PORT = 65535


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:port`` into host and port number.

    Example:
        >>> split_address('10.1.0.40:8227')
        ('10.1.0.40', 8227)
    """
    host, _, port = address.rpartition(':')
    return host, int(port)


def is_valid_address(text: str) -> bool:
    """Return whether a text is an IPv4 address and a port that exist.

    Example:
        >>> is_valid_address('10.1.0.40:8227'), is_valid_address('host:80')
        (True, False)
    """
    host, _, port = text.rpartition(':')
    try:
        ipaddress.IPv4Address(host)
        number = int(port) if port.isascii() and port.isdigit() else 0
    except ValueError:
        return False
    return 0 < number <= _MAX_PORT
