"""Loads TOML files into typed structs. Errors name file, key and expected value in one line."""

from __future__ import annotations

import ipaddress
import tomllib
from pathlib import Path
from typing import TypeVar

import msgspec

T = TypeVar("T")


class BadSettings(Exception):
    """Invalid settings. The message is one line for the user: what is wrong, where, and what is expected."""


class Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A table of a settings file. Unknown keys are errors."""


def load(path: Path, form: type[T]) -> T:
    """Read a settings file and convert it to `form`. Raises BadSettings."""
    try:
        values = tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError) as error:
        reason = error.strerror if isinstance(error, OSError) else "it is no text in UTF-8"
        raise BadSettings(f"{path}: {reason}") from error
    except tomllib.TOMLDecodeError as error:
        raise BadSettings(f"{path}: it is no TOML: {error}") from error
    try:
        return msgspec.convert(values, form)
    except msgspec.ValidationError as error:
        what, _, where = str(error).partition(" - at `$")
        raise BadSettings(f"{path}: {where.strip('`').lstrip('.') or 'top level'}: {what}") from error


def address(text: str, what: str) -> tuple[str, int]:
    """Parse `HOST:PORT` with a numeric host; port 0 lets the system choose the port.

    Raises BadSettings, which names the key `what`."""
    host, colon, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        if not colon or not 0 <= int(port) <= 65535:
            raise ValueError
    except ValueError:
        raise BadSettings(f"{what}: '{text}' is no address like 127.0.0.1:7500") from None
    return host.strip("[]"), int(port)
