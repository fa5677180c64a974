"""What clients of plain HTTP trust over TLS: nobody.

httpx reads all authorities of the system for each client that is not given
a context, which costs more than the call itself.
"""

import ssl

__all__ = ('TRUST_NOBODY',)

TRUST_NOBODY = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
