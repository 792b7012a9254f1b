"""The proxy as its agent sees it: its admin endpoint, and a signal that reaches the very process that answers there."""

from __future__ import annotations

import asyncio
import os
import signal
from typing import Protocol

import msgspec

from mastlift.configuration.core import Reading
from mastlift.configuration.versions import version_named

ANSWER_S = 1.0
REQUEST = b"GET /api/configuration HTTP/1.1\r\nHost: proxy\r\nConnection: close\r\n\r\n"


class ProxyUnavailable(Exception):
    """The proxy does not answer, or cannot be signalled; the text says how. `is_gone`: nobody listens there."""

    def __init__(self, reason: str, is_gone: bool = False) -> None:
        super().__init__(reason)
        self.is_gone = is_gone


class Proxy(Protocol):
    """What an agent needs of its proxy."""

    async def read(self) -> Reading:
        """What is in force now. Raises ProxyUnavailable."""

    async def reload(self) -> Reading:
        """Have it read its file; what it said right before. Raises ProxyUnavailable."""


class _Shown(msgspec.Struct, frozen=True):
    pid: int
    digest: str
    reloads: int
    version: msgspec.Raw = msgspec.Raw(b"null")
    refused: str | None = None


_DECODE = msgspec.json.Decoder(_Shown).decode


def read_shown(body: bytes, service: str) -> Reading:
    """The answer of `/api/configuration`, with the version if it is this service's. Raises msgspec.DecodeError."""
    shown = _DECODE(body)
    version = version_named(msgspec.json.decode(shown.version), service)
    return Reading(shown.pid, shown.digest, version, shown.reloads, shown.refused or "")


class RealProxy:
    """A proxy's process on this machine, known by its admin endpoint alone."""

    def __init__(self, service: str, host: str, port: int) -> None:
        self._service, self._host, self._port = service, host, port

    async def read(self) -> Reading:
        try:
            async with asyncio.timeout(ANSWER_S):
                return read_shown(await self._ask(), self._service)
        except TimeoutError:
            raise ProxyUnavailable(f"no answer at {self._where()} within {ANSWER_S:g} s") from None
        except (OSError, asyncio.IncompleteReadError, msgspec.DecodeError) as error:
            is_gone = isinstance(error, ConnectionRefusedError)
            raise ProxyUnavailable(f"{self._where()}: {_reason(error)}", is_gone) from error

    async def reload(self) -> Reading:
        """The process is held by a descriptor before it answers once more: a process id that was reused is never
        signalled."""
        pid = (await self.read()).pid
        try:
            process = os.pidfd_open(pid)
        except OSError as error:
            raise ProxyUnavailable(f"process {pid}: {error.strerror}") from error
        try:
            before = await self.read()
            if before.pid != pid:
                raise ProxyUnavailable(f"process {pid} was replaced by {before.pid}")
            signal.pidfd_send_signal(process, signal.SIGHUP)
            return before
        except OSError as error:
            raise ProxyUnavailable(f"SIGHUP to process {pid}: {error.strerror}") from error
        finally:
            os.close(process)

    def _where(self) -> str:
        return f"{self._host}:{self._port}"

    async def _ask(self) -> bytes:
        reader, writer = await asyncio.open_connection(self._host, self._port)
        try:
            writer.write(REQUEST)
            head, _, body = (await reader.read(-1)).partition(b"\r\n\r\n")
            status = head.split(b" ", 2)[1:2]
            if status != [b"200"]:
                raise ConnectionError(f"answered {status[0].decode() if status else 'nothing'} to /api/configuration")
            return body
        finally:
            writer.close()


def _reason(error: Exception) -> str:
    return (getattr(error, "strerror", None) or str(error) or type(error).__name__).lower()
