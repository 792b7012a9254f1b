"""Keeps OpenSSL out of the process, which speaks plain TCP only. Has to be imported before the event loops.

asyncio does without the module `ssl`, but uvloop imports it and looks up some of its names, and `hashlib` prefers
OpenSSL to its own code. The libraries take 5 MB, a sixth of the least memory that a proxy is given.
"""

from __future__ import annotations

import sys
from types import ModuleType

CLASSES = ("MemoryBIO", "SSLContext")
ERRORS = ("CertificateError", "SSLError", "SSLSyscallError", "SSLWantReadError", "SSLZeroReturnError")
ERROR_CODES = ("SSL_ERROR_SYSCALL", "SSL_ERROR_WANT_READ", "SSL_ERROR_WANT_WRITE")


def create_default_context() -> None:
    """Raises RuntimeError: there is no TLS in this process."""
    raise RuntimeError("this process was started without TLS")


def stand_in() -> ModuleType:
    """A module with the names of `ssl` that uvloop and asyncio look up when they are imported."""
    module = ModuleType("ssl", "A stand-in without TLS.")
    names: dict[str, object] = {name: type(name, (), {}) for name in CLASSES}
    names |= {name: type(name, (OSError,), {}) for name in ERRORS}
    names |= {name: code for code, name in enumerate(ERROR_CODES)}
    names["create_default_context"] = create_default_context
    vars(module).update(names)
    return module


def install() -> None:
    """Puts the stand-in in place, unless the module or an event loop was loaded before."""
    if {"ssl", "_hashlib", "asyncio", "uvloop"} & sys.modules.keys():
        return
    sys.modules["ssl"] = stand_in()
    sys.modules["_hashlib"] = None  # type: ignore[assignment]  # hashlib then uses its own code


install()
