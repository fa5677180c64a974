"""TLS context for clients that use plain HTTP only.

Without a given context, httpx loads all certificate authorities of the
system for each client, which takes longer than the request itself.
"""

import ssl

__all__ = ('EMPTY_TLS_CONTEXT',)

EMPTY_TLS_CONTEXT = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
