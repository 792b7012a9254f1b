"""Writes log lines in a background thread, so that a caller never blocks: a reader of standard error that stopped
reading must not stop lease renewals, an election or the end of a command."""

from __future__ import annotations

import contextlib
import os
import threading
import time
from collections import deque

MAX_QUEUED_LINES = 10_000  # further lines are counted and dropped
DRAIN_TIMEOUT_S = 1.0  # time limit for writing the last lines when the process ends


class BackgroundWriter:
    """A file-like object for loggers: `write` queues a line, and one daemon thread writes the queued lines.

    Lines keep their order. While the queue is full, new lines are dropped; after the next lines that are written, an
    event gives the number of dropped lines."""

    def __init__(self, descriptor: int, max_queued: int = MAX_QUEUED_LINES) -> None:
        """Lines are written directly to the descriptor: a thread that blocks in a file object would hold the lock of
        that object when the process ends."""
        self._descriptor = descriptor
        self._max_queued = max_queued
        self._queued: deque[str] = deque()
        self._dropped = 0
        self._writing = False
        self._changed = threading.Condition()
        self._thread: threading.Thread | None = None

    def write(self, text: str) -> int:
        """Queue the text without blocking on the reader."""
        with self._changed:
            if self._thread is None:
                self._thread = threading.Thread(target=self._run, name="log", daemon=True)
                self._thread.start()
            if len(self._queued) < self._max_queued:
                self._queued.append(text)
            else:
                self._dropped += 1
            self._changed.notify_all()
        return len(text)

    def flush(self) -> None:
        """Do nothing. Loggers call it after each line."""

    def drain(self, within_s: float = DRAIN_TIMEOUT_S) -> bool:
        """Wait until all queued lines are written. Returns False if that takes longer than `within_s`."""
        until = time.monotonic() + within_s
        with self._changed:
            while self._queued or self._writing:
                left_s = until - time.monotonic()
                if left_s <= 0:
                    return False
                self._changed.wait(left_s)
        return True

    def _run(self) -> None:
        while True:
            with self._changed:
                self._writing = False
                self._changed.notify_all()
                while not self._queued:
                    self._changed.wait()
                text = "".join(self._queued)
                self._queued.clear()
                dropped, self._dropped = self._dropped, 0
                self._writing = True
            if dropped:
                text += f'{{"event": "log_lines_dropped", "lines": {dropped}}}\n'
            with contextlib.suppress(OSError):  # nobody reads from the other end
                self._write_all(text.encode(errors="replace"))

    def _write_all(self, data: bytes) -> None:
        while data:
            data = data[os.write(self._descriptor, data) :]
