"""An open-loop load generator in a process of its own: each call goes at its intended time, whatever became of those
before, and its latency counts from that time (no coordinated omission).

It is one thread around `select`, whose time-outs are as fine as the kernel's timers; event loops round to milliseconds.
The job comes as JSON on standard input, the result goes to standard output.
"""

from __future__ import annotations

import gc
import random
import select
import socket
import sys
import time
from collections import deque

import msgspec

LAST_ANSWERS_S = 4.0
HEAD_END = b"\r\n\r\n"


class Job(msgspec.Struct, frozen=True):
    """Calls are spread over the addresses in turn. Intended times are a Poisson process drawn from `seed`."""

    addresses: list[str]
    per_s: float
    seconds: float
    seed: int = 1
    new_connections: bool = False  # one a call, closed after its answer


class LoadResult(msgspec.Struct, frozen=True):
    """Milliseconds. `late_ms` is how late the generator itself sent; the latencies hold it already."""

    latency_ms: list[float]
    late_ms: list[float]
    failed: int
    connections: int


def intended_times(job: Job) -> list[float]:
    """Seconds from the beginning."""
    rng, at, times = random.Random(job.seed), 0.0, list[float]()
    while (at := at + rng.expovariate(job.per_s)) < job.seconds:
        times.append(at)
    return times


def answer_ends(data: bytes) -> bool:
    """Is the whole answer there? It must have a Content-Length."""
    head, found, body = data.partition(HEAD_END)
    if not found:
        return False
    length = head.lower().split(b"content-length:")[1].split(b"\r\n")[0]
    return len(body) >= int(length)


class _Call:
    __slots__ = ("address", "data", "intended", "socket")

    def __init__(self, connection: socket.socket, address: str, intended: float) -> None:
        self.socket, self.address, self.intended = connection, address, intended
        self.data = b""


class Generator:
    """Plays one job."""

    def __init__(self, job: Job) -> None:
        self._job = job
        self._idle: dict[str, deque[socket.socket]] = {address: deque() for address in job.addresses}
        self._open: dict[socket.socket, _Call] = {}
        self._latency_ms: list[float] = []
        self._late_ms: list[float] = []
        self._failed = self._connections = self._number = 0

    def play(self) -> LoadResult:
        times = intended_times(self._job)
        begin, next_ = time.perf_counter() + 0.05, 0
        end = begin + self._job.seconds + LAST_ANSWERS_S
        while (next_ < len(times) or self._open) and time.perf_counter() < end:
            until = begin + times[next_] if next_ < len(times) else end
            readable, _, _ = select.select(self._open, (), (), max(0.0, until - time.perf_counter()))
            for connection in readable:
                self._read(self._open[connection])
            while next_ < len(times) and time.perf_counter() >= begin + times[next_]:
                self._send(begin + times[next_])
                next_ += 1
        self._failed += len(self._open)
        return LoadResult(self._latency_ms, self._late_ms, self._failed, self._connections)

    def _connect(self, address: str) -> socket.socket:
        host, _, port = address.rpartition(":")
        connection = socket.create_connection((host, int(port)), LAST_ANSWERS_S)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._connections += 1
        return connection

    def _send(self, intended: float) -> None:
        address = self._job.addresses[self._number % len(self._job.addresses)]
        self._number += 1
        head = (
            f"GET /read/1 HTTP/1.1\r\nHost: {address}\r\nX-Trace-Id: {self._number:016x}\r\nX-Qos: read\r\n"
            "X-Expires-In: 3.0\r\n\r\n"
        )
        try:
            connection = self._idle[address].pop() if self._idle[address] else self._connect(address)
            connection.sendall(head.encode())
        except OSError:
            self._failed += 1
            return
        self._late_ms.append((time.perf_counter() - intended) * 1000.0)
        self._open[connection] = _Call(connection, address, intended)

    def _read(self, call: _Call) -> None:
        try:
            data = call.socket.recv(1 << 16)
        except OSError:
            data = b""
        call.data += data
        if data and not answer_ends(call.data):
            return
        del self._open[call.socket]
        if not data or not call.data.startswith(b"HTTP/1.1 200"):
            self._failed += 1
            call.socket.close()
            return
        self._latency_ms.append((time.perf_counter() - call.intended) * 1000.0)
        if self._job.new_connections or b"connection: close" in call.data.lower():
            call.socket.close()
        else:
            self._idle[call.address].append(call.socket)


def main() -> None:
    """One job."""
    gc.disable()
    job = msgspec.json.decode(sys.stdin.buffer.read(), type=Job)
    sys.stdout.buffer.write(msgspec.json.encode(Generator(job).play()))


if __name__ == "__main__":
    main()
