"""Makes the imports of a starting process cheaper.

Instances that lose power together start together, often on few cores, and none
serves before its imports are done. Imports nothing of the program itself.
"""

from collections.abc import Iterator
import contextlib
import gc
import os

# OpenSSL reads the certificates of the machine's authorities where these name
# no others. aiohttp has it do so twice as it is imported, a seventh of a start,
# and instances speak no TLS.
_AUTHORITY_VARIABLES = ("SSL_CERT_FILE", "SSL_CERT_DIR")


@contextlib.contextmanager
def cheap_imports() -> Iterator[None]:
    """Imports made in this context load no certificates and collect nothing.

    What was imported stays until the process ends. Later garbage collections
    pass over it.
    """
    given = {name: os.environ.get(name) for name in _AUTHORITY_VARIABLES}
    os.environ.update(dict.fromkeys(_AUTHORITY_VARIABLES, os.devnull))
    gc.disable()
    try:
        yield
    finally:
        gc.freeze()
        gc.enable()
        for name, value in given.items():
            if value is None:
                del os.environ[name]
            else:
                os.environ[name] = value
