"""Reads and validates settings; reports all errors together."""

from collections.abc import Mapping
import ipaddress
import urllib.parse

from nutmeghook.internal.settings import specs

MASK = "********"


class SettingError(ValueError):
    """One setting is missing or wrong; the text says what to do."""


class Settings:
    """Validated values, read by a setting's name.

    The getters are typed by kind; asking for a setting that is not in the
    list is a programming error and raises KeyError.
    """

    __slots__ = ("_specs", "_texts")

    def __init__(
        self, *, texts: Mapping[str, str], settings: tuple[specs.Spec, ...]
    ):
        self._texts = dict(texts)
        self._specs = settings

    def text(self, name: str) -> str:
        """Returns a text, URL or address as it was given."""
        return self._texts[name]

    def count(self, name: str) -> int:
        """Returns a whole number."""
        return int(self._texts[name])

    def addresses(self, name: str) -> list[str]:
        """Returns the parts of a list of addresses."""
        return [a.strip() for a in self._texts[name].split(",") if a.strip()]

    def printable_lines(self) -> list[str]:
        """Returns `name=value` lines, secrets masked."""
        lines = []
        for spec in self._specs:
            text = self._texts[spec.name]
            shown = MASK if spec.secret and text else text
            lines.append(f"{spec.name}={shown}")
        return lines


def load(
    *,
    flags: Mapping[str, str | None],
    environment: Mapping[str, str],
    settings: tuple[specs.Spec, ...] = specs.SERVE_SPECS,
) -> Settings:
    """Takes each setting from its flag, else its variable, else the default.

    Raises:
        ExceptionGroup: One `SettingError` for each fault.
    """
    faults: list[SettingError] = []
    texts: dict[str, str] = {}
    for spec in settings:
        text = _find(spec, flags, environment)
        if text is None:
            faults.append(
                SettingError(
                    f"{spec.name} is not set; give {spec.flag} or"
                    f" {spec.variable} ({spec.kind.value}: {spec.meaning})"
                )
            )
            continue
        fault = _fault_in(spec, text)
        if fault:
            faults.append(fault)
        texts[spec.name] = text
    faults.extend(_unknown(flags, environment, settings))
    if faults:
        raise ExceptionGroup("settings are wrong", faults)
    return Settings(texts=texts, settings=settings)


def _find(
    spec: specs.Spec,
    flags: Mapping[str, str | None],
    environment: Mapping[str, str],
) -> str | None:
    given = flags.get(spec.name)
    if given is not None:
        return str(given)
    return environment.get(spec.variable, spec.default)


def _unknown(
    flags: Mapping[str, str | None],
    environment: Mapping[str, str],
    settings: tuple[specs.Spec, ...],
) -> list[SettingError]:
    """Finds unknown flags; unknown environment variables are ignored."""
    names = {spec.name for spec in settings}
    return [
        SettingError(f"{name} is not a setting; run 'nutmeghook serve --help'")
        for name in flags
        if name not in names
    ]


def _fault_in(spec: specs.Spec, text: str) -> SettingError | None:
    shown = MASK if spec.secret else repr(text)
    try:
        _CHECKS[spec.kind](spec, text)
    except ValueError as error:
        return SettingError(
            f"{spec.name} is {shown}: {error}; set {spec.flag} or"
            f" {spec.variable} to a {spec.kind.value}"
        )
    return None


def _check_text(spec: specs.Spec, text: str) -> None:
    if not text and spec.default != "":
        raise ValueError("it must not be empty")
    if not text.isprintable():
        raise ValueError("it holds characters that can't be printed")


def check_address(text: str) -> None:
    """Raises ValueError unless the text is an IP number and a port."""
    host, separator, port = text.rpartition(":")
    if not separator:
        raise ValueError("the port is missing")
    ipaddress.ip_address(host.strip("[]"))
    if not (port.isdigit() and int(port) < 65_536):
        raise ValueError(f"the port is {port!r}, not 0 to 65535")


def _check_address(spec: specs.Spec, text: str) -> None:
    check_address(text)


def _check_addresses(spec: specs.Spec, text: str) -> None:
    for part in text.split(","):
        if part.strip():
            check_address(part.strip())


def _check_url(spec: specs.Spec, text: str) -> None:
    parts = urllib.parse.urlsplit(text)
    if parts.scheme not in ("http", "https"):
        raise ValueError("the scheme is not http or https")
    if not parts.hostname:
        raise ValueError("the host is missing")


def _check_count(spec: specs.Spec, text: str) -> None:
    value = int(text)
    if not spec.minimum <= value <= spec.maximum:
        raise ValueError(f"it is not within {spec.minimum} to {spec.maximum}")


_CHECKS = {
    specs.Kind.TEXT: _check_text,
    specs.Kind.ADDRESS: _check_address,
    specs.Kind.ADDRESSES: _check_addresses,
    specs.Kind.URL: _check_url,
    specs.Kind.COUNT: _check_count,
}
