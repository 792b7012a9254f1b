"""Saves the last endpoint list in a file, for a start while no discovery answers.

A file that cannot be read or fails its checksum is ignored.
"""

from __future__ import annotations

import logging
import os
from pathlib import Path
from typing import Any
from zlib import crc32

import orjson

log = logging.getLogger(__name__)


def read_list(path: Path) -> dict[str, Any]:
    """The saved list; empty if there is none or it is damaged."""
    try:
        check, _, body = path.read_bytes().partition(b"\n")
        if check != b"%08x" % crc32(body):
            raise ValueError("checksum mismatch")
        message: dict[str, Any] = orjson.loads(body)
        int(message["revision"])
        return message
    except FileNotFoundError:
        return {}
    except (OSError, ValueError, KeyError, TypeError) as problem:
        log.error("cannot use the endpoint list saved in %s: %s", path, problem)
        return {}


def write_list(path: Path, message: dict[str, Any]) -> None:
    """Replaces the file atomically; a failure is only logged."""
    body = orjson.dumps(message)
    temporary = path.with_name(path.name + f".{os.getpid()}.tmp")
    try:
        temporary.write_bytes(b"%08x\n" % crc32(body) + body)
        os.replace(temporary, path)
    except OSError as problem:
        log.error("cannot save the endpoint list in %s: %s", path, problem)
