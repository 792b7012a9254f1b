"""Requests of clients, and how their headers are interpreted according to the settings."""

from __future__ import annotations

import math
import time
from dataclasses import dataclass

from balancing.api import Effect
from proxy.config import NodeConfig, method_of
from proxy.flow import RequestBodyStream
from proxy.request_parser import BadRequest, Headers, Rejection

# Old class names stay valid for this time after a reload: clients use the new ones from 1.2 s after the signal, and
# requests that they sent before may still arrive.
PREVIOUS_CLASSES_S = 3.0
BUSY_RETRY_AFTER_MS = 500.0  # Retry-After of requests that are refused because a limit of this proxy is reached


@dataclass(slots=True)
class ClientRequest:
    """A request of a client. RequestReader fills in the fields that depend on the settings."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    keep_alive: bool
    arrived_at: float  # time.monotonic() in seconds
    rejection: Rejection | None = None  # set for a request that is not handled
    body_stream: RequestBodyStream | None = None  # of a long body, which may be incomplete
    is_http10: bool = False  # the answer must not be chunked
    trace_id: str = ""
    is_up_check: bool = False
    class_index: int = 0
    tenant: int = 0
    left_ms: float = 0.0  # time to the deadline, from X-Expires-In
    cost_ms: float | None = None  # estimated processing time, from X-Size-Hint
    is_retry: bool = False
    read_by: RequestReader | None = None  # shows whether the settings changed since the headers were read
    held_head_bytes: int = 0  # the memory that the head takes

    def is_body_incomplete(self) -> bool:
        return self.body_stream is not None and not self.body_stream.ended


def read_number(text: bytes) -> float:
    """Raises ValueError unless the text is a finite number."""
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(f"{text!r} is not a finite number")
    return number


def origin_form(target: bytes) -> bytes:
    """Strips the scheme and the authority from a request target in absolute form."""
    if target[:7].lower() != b"http://":
        return target
    path = target[7:].find(b"/")
    return target[7 + path :] if path >= 0 else b"/"


def retry_after_headers(config: NodeConfig, pause_ms: float) -> Headers:
    """The Retry-After header for a refused request; none if the settings forbid it or there is no pause."""
    if pause_ms <= 0 or not config.may_send_retry_after:
        return []
    return [(b"Retry-After", b"%.3f" % (pause_ms / 1000.0))]


class RequestReader:
    """Interprets the headers of requests according to one version of the settings."""

    def __init__(self, config: NodeConfig) -> None:
        classes = config.settings.classes
        self._classes = {
            name.encode(): (index, method_of(classes[index]), classes[index].effect)
            for name, index in config.classes.items()
        }
        # Requests that match only the previous settings are accepted for PREVIOUS_CLASSES_S.
        self._previous = {
            name.encode(): (index, config.former_methods[name], classes[index].effect)
            for name, index in config.former_classes.items()
        }
        self._previous_until = time.monotonic() + PREVIOUS_CLASSES_S
        self._tenants = {name.encode(): index for name, index in config.tenants.items()}
        self.busy_headers = retry_after_headers(config, BUSY_RETRY_AFTER_MS)

    def read(self, request: ClientRequest) -> None:
        """Sets the request's class, deadline, cost and tenant from its headers. Raises BadRequest."""
        request.read_by = self
        headers = {name.lower(): value for name, value in request.headers}
        path_segment = request.target.split(b"?", 1)[0].split(b"/")[1:2]
        name = headers.get(b"x-qos") or (path_segment[0] if path_segment else b"")
        if path_segment != [name]:
            raise BadRequest(400, "the path names another class than X-Qos")
        request.class_index = self._class_of(request, name, bool(headers.get(b"idempotency-key")))
        request.trace_id = headers.get(b"x-trace-id", b"").decode("latin-1")
        if not request.trace_id:
            raise BadRequest(400, "X-Trace-Id is missing")
        try:
            request.left_ms = read_number(headers[b"x-expires-in"]) * 1000.0
            hint = headers.get(b"x-size-hint")
            request.cost_ms = read_number(hint) / 1000.0 if hint else None
        except (KeyError, ValueError):
            raise BadRequest(400, "X-Expires-In or X-Size-Hint is missing or no number") from None
        if not 0.0 < request.left_ms < math.inf:  # the conversion to ms can overflow
            raise BadRequest(400, "X-Expires-In is not above 0, or beyond all numbers")
        request.tenant = self._tenants.get(headers.get(b"x-customer", b""), 0)
        request.is_retry = headers.get(b"x-second-try") == b"1"

    def _class_of(self, request: ClientRequest, name: bytes, has_key: bool) -> int:
        known = [self._classes.get(name)]
        if time.monotonic() < self._previous_until:
            known.append(self._previous.get(name))
        rejection = Rejection(404, "unknown class")
        for index, method, effect in filter(None, known):
            if request.method != method:
                rejection = Rejection(405, "the class has another method")
            elif effect is Effect.KEYED and not has_key:
                rejection = Rejection(400, "Idempotency-Key is missing")
            else:
                return index
        raise BadRequest(*rejection)
