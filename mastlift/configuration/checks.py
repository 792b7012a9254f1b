"""Checks the content of a version before it is put, by the rules of the proxy. Pure."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import orjson

from mastlift.configuration.versions import DISTRIBUTED_KEYS, LOCAL_SETTINGS, Version, merge
from mastlift.settings import BadSettings
from proxy.config import missing_keys, read_config

MAX_CONTENT_BYTES = 256 << 10  # every keeper holds each stored version in memory
PLACEHOLDERS: dict[str, Any] = {"name": "check", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "seed": 0}


def check_content(file: str, data: bytes, former: Version | None) -> dict[str, Any]:
    """Parse and check the content of a file that is to be put.

    Raises BadSettings, which names file, key and expected value, if the proxy would refuse the content or if it lacks a
    key of the `former` version."""
    if len(data) > MAX_CONTENT_BYTES:
        raise BadSettings(f"{file}: at most {MAX_CONTENT_BYTES} bytes are expected, not {len(data)}")
    try:
        content = orjson.loads(data)
    except ValueError as error:
        raise BadSettings(f"{file}: it is no JSON: {error}") from error
    if not isinstance(content, dict):
        raise BadSettings(f"{file}: an object is expected, not {type(content).__name__}")
    for name in content:
        if name not in DISTRIBUTED_KEYS:
            raise BadSettings(
                f"{file}: {name}: only {' and '.join(DISTRIBUTED_KEYS)} are distributed; "
                "other keys belong into each machine's base file"
            )
    if not isinstance(content.get("settings"), dict):
        raise BadSettings(f"{file}: settings: an object is expected")
    raw = _with_placeholders(content)
    try:
        read_config(raw, {})
    except KeyError as error:
        raise BadSettings(f"{file}: {error} is missing or has an unknown value") from error
    except (ValueError, TypeError, AttributeError, OverflowError) as error:
        raise BadSettings(f"{file}: {error}") from error
    if former is not None and (missing := sorted(missing_keys(_with_placeholders(former.content), raw))):
        raise BadSettings(f"{file}: {', '.join(missing)}: expected, since version {former.id} has it")
    return content


def _with_placeholders(content: Mapping[str, Any]) -> dict[str, Any]:
    """Complete the content with placeholders for the keys that come from a machine's base file."""
    local_settings = {name: 0 for name in LOCAL_SETTINGS if name not in content["settings"]}
    return merge({**PLACEHOLDERS, "settings": local_settings}, content)
