"""Checks of response heads that parsers of HTTP/1.1 leave to their users."""

__all__ = ('is_valid_status',)

_LAST_STATUS = 599


def is_valid_status(status: int) -> bool:
    """Return whether a final status is one of HTTP.

    A client treats any other one as a server error, or its library raises an
    error, so a gateway has no answer to forward (RFC 9110, section 15).

    Args:
        status: Status of a parsed response, at least 200.
    """
    return status <= _LAST_STATUS
