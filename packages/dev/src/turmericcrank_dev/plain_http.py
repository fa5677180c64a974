"""TLS context for clients that use plain HTTP only.

Without a given context, httpx loads all certificate authorities of the
system for each client, which takes longer than the request itself.
"""

import ssl

__all__ = ('TRUST_NOBODY',)

TRUST_NOBODY = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
