"""Structured logging: one event a line on standard error, as JSON or for people."""

from __future__ import annotations

import logging
import sys
from enum import StrEnum

import msgspec
import structlog


class LogForm(StrEnum):
    AUTO = "auto"  # for people on a terminal, else JSON
    JSON = "json"
    PEOPLE = "people"


def start_logging(form: LogForm = LogForm.AUTO) -> None:
    """Set the form of all later events of this process."""
    people = form is LogForm.PEOPLE or (form is LogForm.AUTO and sys.stderr.isatty())
    last: structlog.typing.Processor = (
        structlog.dev.ConsoleRenderer() if people
        else structlog.processors.JSONRenderer(serializer=lambda event, **_: msgspec.json.encode(event).decode()))
    structlog.configure(
        processors=[structlog.processors.add_log_level, structlog.processors.TimeStamper(fmt="iso", utc=True), last],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(sys.stderr), cache_logger_on_first_use=False)


def get_logger(component: str) -> structlog.typing.FilteringBoundLogger:
    """A logger that names its component in each event."""
    logger: structlog.typing.FilteringBoundLogger = structlog.get_logger(component=component)
    return logger
