"""Inner addresses: an IP address and a port, as `10.0.0.1:7000`."""

import ipaddress

_MAX_PORT = 65535


def split(inner_address: str) -> tuple[str, int]:
    """Returns the IP address, without brackets, and the port.

    Raises:
        ValueError: The text is not `ip:port`.
    """
    host, _, port = inner_address.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(host)
        port_number = int(port)
    except ValueError as error:
        raise ValueError(
            f"inner_address is {inner_address!r}; give ip:port"
        ) from error
    if not 0 < port_number <= _MAX_PORT:
        raise ValueError(
            f"inner_address is {inner_address!r}; give a port from 1 to "
            f"{_MAX_PORT}"
        )
    return host, port_number


def is_valid(inner_address: str) -> bool:
    """Tells whether a text is `ip:port`."""
    try:
        split(inner_address)
    except ValueError:
        return False
    return True
