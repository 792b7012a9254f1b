"""Access to the proxy: its admin endpoint, and a signal to exactly the process that answers there."""

from __future__ import annotations

import asyncio
import os
import signal
from typing import Protocol

import msgspec

from mastlift.configuration.core import ProxyState
from mastlift.configuration.versions import parse_version_id

ANSWER_TIMEOUT_S = 1.0
REQUEST = b"GET /api/configuration HTTP/1.1\r\nHost: proxy\r\nConnection: close\r\n\r\n"


class ProxyUnavailable(Exception):
    """The proxy does not answer or cannot be signalled; the message gives the reason.

    `is_down` is set if no process listens at the admin endpoint."""

    def __init__(self, reason: str, is_down: bool = False) -> None:
        super().__init__(reason)
        self.is_down = is_down


class Proxy(Protocol):
    """The calls that an agent makes to its proxy."""

    async def read(self) -> ProxyState:
        """The proxy's current state. Raises ProxyUnavailable."""

    async def reload(self) -> ProxyState:
        """Make the proxy read its file again; returns its state immediately before. Raises ProxyUnavailable."""


class _ConfigurationAnswer(msgspec.Struct, frozen=True):
    pid: int
    digest: str
    reloads: int
    version: msgspec.Raw = msgspec.Raw(b"null")
    refused: str | None = None


_DECODE = msgspec.json.Decoder(_ConfigurationAnswer).decode


def decode_answer(body: bytes, service: str) -> ProxyState:
    """Decode the answer of `/api/configuration`. The version is None if it is not one of this service.

    Raises msgspec.DecodeError."""
    answer = _DECODE(body)
    version = parse_version_id(msgspec.json.decode(answer.version), service)
    return ProxyState(answer.pid, answer.digest, version, answer.reloads, answer.refused or "")


class ProxyEndpoint:
    """A proxy process on this machine, identified only by its admin endpoint."""

    def __init__(self, service: str, host: str, port: int) -> None:
        self._service, self._host, self._port = service, host, port

    async def read(self) -> ProxyState:
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                return decode_answer(await self._fetch_configuration(), self._service)
        except TimeoutError:
            raise ProxyUnavailable(f"no answer at {self._address()} within {ANSWER_TIMEOUT_S:g} s") from None
        except (OSError, asyncio.IncompleteReadError, msgspec.DecodeError) as error:
            is_down = isinstance(error, ConnectionRefusedError)
            raise ProxyUnavailable(f"{self._address()}: {_reason(error)}", is_down) from error

    async def reload(self) -> ProxyState:
        """Send SIGHUP to the process that answers.

        A pidfd is opened before the process is asked a second time and has to answer with the same process id, so that
        a process with a reused id is never signalled."""
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

    def _address(self) -> str:
        return f"{self._host}:{self._port}"

    async def _fetch_configuration(self) -> bytes:
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
