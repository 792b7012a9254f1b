"""Structured logging: one event per line on standard error, as JSON or human-readable. Logging never blocks on the
reader of standard error."""

from __future__ import annotations

import atexit
import logging
import sys
from enum import StrEnum

import msgspec
import structlog

from mastlift.logwriter import BackgroundWriter

_writers: list[BackgroundWriter] = []  # one for each call of start_logging in this process


class LogFormat(StrEnum):
    AUTO = "auto"  # human-readable on a terminal, otherwise JSON
    JSON = "json"
    PEOPLE = "people"


def start_logging(log_format: LogFormat = LogFormat.AUTO) -> None:
    """Configure the logging of this process and the format of its events."""
    human_readable = log_format is LogFormat.PEOPLE or (log_format is LogFormat.AUTO and sys.stderr.isatty())
    renderer: structlog.typing.Processor = (
        structlog.dev.ConsoleRenderer()
        if human_readable
        else structlog.processors.JSONRenderer(serializer=lambda event, **_: msgspec.json.encode(event).decode())
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=_logger_factory(),
        cache_logger_on_first_use=False,
    )


def _logger_factory() -> structlog.WriteLoggerFactory:
    try:
        descriptor = sys.stderr.fileno()
    except (AttributeError, OSError, ValueError):  # standard error has no file descriptor
        return structlog.WriteLoggerFactory(sys.stderr)
    writer = BackgroundWriter(descriptor)
    _writers.append(writer)
    atexit.register(writer.drain)
    return structlog.WriteLoggerFactory(writer)  # type: ignore[arg-type]  # it uses only write and flush of a file


def drain_logs() -> None:
    """Wait until the last log lines are written, at most DRAIN_TIMEOUT_S per writer. For use before the process exits
    without cleanup."""
    for writer in _writers:
        writer.drain()


def get_logger(component: str) -> structlog.typing.FilteringBoundLogger:
    """A logger that adds its component to each event."""
    logger: structlog.typing.FilteringBoundLogger = structlog.get_logger(component=component)
    return logger
