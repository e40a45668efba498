"""HTTP header fields that belong to one connection (RFC 9110, 7.6.1)."""

# Whoever passes a message on leaves these out, and the library sets what it
# needs anew: a forwarded `transfer-encoding` or `content-length` would tell
# the next server another end of the message than it has.
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
