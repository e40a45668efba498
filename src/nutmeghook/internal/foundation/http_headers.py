"""HTTP header fields that belong to one connection (RFC 9110, 7.6.1)."""

# A proxy drops these from a message that it forwards, and the HTTP library sets
# those that it needs: a forwarded `transfer-encoding` or `content-length` could
# give the next server a wrong end of the message.
CONNECTION_FIELDS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
