"""TLS contexts for clients, upstreams, the platform and peers."""

import ssl
from dataclasses import dataclass

from turmericcrank_node.settings import TlsSettings

__all__ = (
    'PeerContexts',
    'make_client_context',
    'make_peer_contexts',
    'select_web_tls',
)


@dataclass(slots=True, frozen=True)
class PeerContexts:
    """TLS contexts of both ends of a connection between nodes."""

    server: ssl.SSLContext | None
    client: ssl.SSLContext | None


def make_client_context(tls: TlsSettings | None) -> ssl.SSLContext | None:
    """Create the context for connections to upstreams and the platform.

    Args:
        tls: Certificate files; None for plain connections.
    """
    if tls is None:
        return None
    context = ssl.create_default_context(cafile=tls.ca_path)
    context.load_cert_chain(tls.certificate_path, tls.key_path)
    return context


def make_peer_contexts(tls: TlsSettings | None) -> PeerContexts:
    """Create the contexts between nodes; both ends present a certificate."""
    if tls is None:
        return PeerContexts(None, None)
    server = ssl.create_default_context(
        ssl.Purpose.CLIENT_AUTH, cafile=tls.ca_path
    )
    server.load_cert_chain(tls.certificate_path, tls.key_path)
    server.verify_mode = ssl.CERT_REQUIRED
    return PeerContexts(server, make_client_context(tls))


def select_web_tls(tls: TlsSettings | None) -> TlsSettings | None:
    """Return the certificate files of the client port; None for plain HTTP."""
    return tls
