"""The proxy process, `python -m proxy`: start, reload, evacuation, hand-over to a new process, and shutdown.

Its configuration file is named by NODE_CONFIG.
"""

from __future__ import annotations

import proxy.without_tls  # noqa: F401  # before the event loops

# isort: split
import asyncio
import gc
import logging
import os
import signal
import socket
import sys
import time
from pathlib import Path

import uvloop

from proxy import control
from proxy.client_request import RequestReader
from proxy.config import BadConfig, NodeConfig, inherited_listener, load_config
from proxy.control import AdminEndpoint, Configuration, admin_calls
from proxy.descriptors import Descriptors
from proxy.flow import BodyBudget
from proxy.frontend import Frontend
from proxy.handover import Handover
from proxy.lifecycle import LifeCycle, Phase
from proxy.memory import release_free_memory, resident_bytes
from proxy.metrics import ProxyMetrics
from proxy.proxy import Proxy
from proxy.sentidfiles import SentIdFiles
from proxy.usage import UsageLog

# New connections still arrive for 0.2 to 0.4 s after SIGTERM. Only after that are connections closed with their next
# answer; the listener closes a little later, and all accepted requests are answered before the process exits.
KEEP_SERVING_S = 0.45  # from SIGTERM until connections close with their next answer
KEEP_LISTENING_S = 0.6  # from SIGTERM until the listener closes
POLL_INTERVAL_S = 0.02
FIRST_REQUEST_GRACE_S = 0.6  # time for the first request on a connection made during an evacuation or a shutdown
# SIGKILL follows SIGTERM after the longest deadline of a request, counted as 3 s at most, plus 0.7 s at the earliest.
MAX_WAIT_S, KILL_AFTER_S = 3.0, 0.7
KILL_MARGIN_S = 0.15  # open requests are failed this long before SIGKILL
MIN_DESCRIPTORS = 24  # lower limit for a process that shares the descriptors with another
SPARE_DESCRIPTORS = 4  # new ones that a replaced process may still open beside those it uses
FLUSH_TIMEOUT_S = 1.5  # time that clients have to read their last answers

log = logging.getLogger("proxy")


class Reload:
    """Reloads the configuration file. An invalid file is refused and leaves the settings in force unchanged."""

    def __init__(self, config: NodeConfig, proxy: Proxy, front: Frontend, status: Configuration | None = None) -> None:
        self.config = config
        self._proxy = proxy
        self._front = front
        self._status = status or Configuration.of(config.raw)

    def __call__(self) -> None:
        try:
            config = load_config(now=self.config)
        except BadConfig as problem:
            log.error("the configuration is kept as it was: %s", problem)
            self._status.record_refused(str(problem))
            return
        self.config = config
        self._front.reader = RequestReader(config)
        self._proxy.reconfigure(config)
        self._status.record_applied(config.raw)
        log.info(
            "new settings are in force: classes %s; attempts %d; discovery %s",
            ", ".join(config.classes),
            config.settings.max_attempts,
            ", ".join(f"{host}:{port}" for host, port in config.discovery),
        )


class Evacuation:
    """Closes client connections during an evacuation: idle ones at once, others with their next answer."""

    def __init__(self, loop: asyncio.AbstractEventLoop, front: Frontend, life: LifeCycle) -> None:
        self._loop = loop
        self._front = front
        self._life = life
        self._timer: asyncio.TimerHandle | None = None
        life.add_listener(self._phase_changed)

    def _phase_changed(self, phase: Phase) -> None:
        if phase is Phase.EVACUATING:
            self._front.closing = True
            self._close_idle()
        elif phase is not Phase.LEAVING:
            self._front.closing = False

    def _close_idle(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._life.phase is Phase.EVACUATING:
            self._front.close_idle(FIRST_REQUEST_GRACE_S)
            self._timer = self._loop.call_later(POLL_INTERVAL_S, self._close_idle)


class Succession:
    """Divides descriptors, memory and clients between the old and the new process while both act as one proxy."""

    def __init__(self, config: NodeConfig, handover: Handover, proxy: Proxy, front: Frontend) -> None:
        self._handover = handover
        self._proxy = proxy
        self._front = front
        self._sockets = config.sockets
        self._limit_alone = front.descriptors.limit
        self._set_aside = config.sockets - self._limit_alone  # reserved, e.g. for discovery and the admin endpoint
        self._has_yielded = False
        self._sent_ids = SentIdFiles(handover.ids_path())
        proxy.shared_ids = self._sent_ids
        handover.export_state = proxy.learned
        handover.on_peers_read = self._on_peers_read
        handover.set_descriptors(config.sockets)

    def close(self) -> None:
        """Removes what this process shared with the others."""
        self._sent_ids.close()

    def _on_peers_read(self) -> None:
        """Yields to a newer process that serves, or resumes without one, and adapts the shares of the limits."""
        if self._handover.has_successor() != self._has_yielded:
            self._has_yielded = not self._has_yielded
            log.info(
                "a newer process has taken over the clients"
                if self._has_yielded
                else "the newer process has ended or left: this process serves all clients again"
            )
            self._proxy.set_yielded(self._has_yielded)
        self._share_sent_ids()
        self._front.budget.divide(2 if self._handover.peers else 1)
        self._front.descriptors.limit = limit = self._descriptors()
        self._handover.set_descriptors(limit + self._set_aside)

    def _share_sent_ids(self) -> None:
        was_shared = self._sent_ids.is_shared()
        self._sent_ids.watch(self._handover.peers_ids_paths(), time.monotonic())
        if self._sent_ids.is_shared() and not was_shared:
            self._sent_ids.record(self._proxy.sent_ids.all())

    def _descriptors(self) -> int:
        """The limit for client and server connections; above it, idle connections are closed to reach it."""
        descriptors = self._front.descriptors
        if not self._handover.peers:
            return self._limit_alone
        if not self._handover.has_newer_peer():
            left = self._sockets - self._handover.peers_descriptors() - self._set_aside
            return min(max(left, MIN_DESCRIPTORS), self._limit_alone)
        if self._has_yielded:
            # This process has closed its idle connections to backends, so each remaining client may need a new one.
            return min(descriptors.limit, descriptors.used + max(SPARE_DESCRIPTORS, len(self._front.connections)))
        half = max(self._sockets // 2 - self._set_aside, MIN_DESCRIPTORS)
        while descriptors.used > half and (self._front.make_room() or self._proxy.make_room()):
            pass
        return max(half, descriptors.used)


class EarlyReload:
    """Remembers a SIGHUP received during the start, which by default would end the process."""

    def __init__(self) -> None:
        self.is_due = False
        signal.signal(signal.SIGHUP, lambda *_: self.note())

    def note(self) -> None:
        self.is_due = True


async def serve(
    config: NodeConfig, listener: socket.socket | None, stopping: asyncio.Event, early: EarlyReload
) -> None:
    """Runs the proxy until `stopping` is set, then shuts it down. Listens itself unless it inherits a listener."""
    loop = asyncio.get_running_loop()
    life = LifeCycle()
    status = Configuration.of(config.raw)
    metrics = ProxyMetrics()
    admin = AdminEndpoint(loop, admin_calls(life, status, metrics))
    if config.control:
        await admin.listen(*config.control)
    handover, inherited, succession = None, None, None
    folder = os.environ.get("TMPDIR")
    if listener is not None and folder:
        handover = Handover(loop, Path(folder), life)
        handover.announce()
        inherited = await handover.receive_state()
    descriptors = Descriptors(config.sockets, control.DESCRIPTORS if config.control else 0)
    budget = BodyBudget(config.memory_mb)
    proxy = Proxy(config, loop, descriptors, budget, life, inherited, metrics)
    front = Frontend(loop, RequestReader(config), descriptors, budget, proxy, life, metrics)
    reload = Reload(config, proxy, front, status)
    loop.add_signal_handler(signal.SIGHUP, reload)
    Evacuation(loop, front, life)
    if handover is not None:
        succession = Succession(config, handover, proxy, front)
        life.has_successor = handover.has_successor
        handover.watch()
    if listener is not None:
        front.listen_on(listener)
    else:
        front.listen(*config.listen)
    proxy.start()
    # Avoids long pauses of the garbage collector: objects made during the start live for good, and few others are in
    # reference cycles.
    gc.collect()
    release_free_memory()
    budget.set_resident(resident_bytes())
    gc.freeze()
    gc.set_threshold(20_000, 20, 50)
    log.info("%s serves on %s:%d", config.name, *front.address())
    usage = UsageLog(loop, config.memory_mb, budget.memory, front, metrics)
    usage.start()
    if early.is_due:
        reload()
    await stopping.wait()
    if handover is not None:
        handover.read_peers()  # SIGTERM may arrive right after the newer process became ready
    life.leave()
    await leave(reload.config, proxy, front, life)
    usage.stop()
    admin.close()
    proxy.stop()
    if succession is not None:
        succession.close()
    if handover is not None:
        handover.close()


async def leave(config: NodeConfig, proxy: Proxy, front: Frontend, life: LifeCycle) -> None:
    """Answers all accepted requests and closes each connection between two requests.

    Requests that are still open shortly before the expected SIGKILL are failed.
    """
    loop = asyncio.get_running_loop()
    fail_all_at = loop.time() + min(config.longest_deadline_s(), MAX_WAIT_S) + KILL_AFTER_S - KILL_MARGIN_S
    log.info("open requests are failed in %.2f s, before the process is killed", fail_all_at - loop.time())
    if life.has_successor():
        # The newer process accepts new connections. Requests on connections made here before are still served.
        front.stop_listening()
        front.closing = True
    else:
        await asyncio.sleep(KEEP_SERVING_S)
        front.closing = True
        front.close_idle(FIRST_REQUEST_GRACE_S)
        await asyncio.sleep(KEEP_LISTENING_S - KEEP_SERVING_S)
        await front.drain_backlog(FIRST_REQUEST_GRACE_S)
        front.stop_listening()
    # An incomplete request gets no answer and delays the exit no longer than other open requests do.
    flushed_by = loop.time() + FLUSH_TIMEOUT_S
    while proxy.has_open_requests() or (front.connections and loop.time() < flushed_by):
        is_over = loop.time() >= fail_all_at
        if proxy.has_open_requests() or ((front.is_receiving() or front.is_sending()) and not is_over):
            flushed_by = loop.time() + FLUSH_TIMEOUT_S
        if is_over:
            proxy.fail_all()
        front.close_idle(FIRST_REQUEST_GRACE_S)
        await asyncio.sleep(POLL_INTERVAL_S)


async def run(config: NodeConfig, listener: socket.socket | None, early: EarlyReload) -> None:
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopping.set)
    await serve(config, listener, stopping, early)


def main() -> int:
    """Returns the exit status: 2 for a bad configuration, 1 for an error of the operating system, otherwise 0."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s: %(message)s")
    early = EarlyReload()
    try:
        config = load_config()
        listener = inherited_listener()
    except BadConfig as problem:
        print(f"proxy: bad configuration: {problem}", file=sys.stderr)
        return 2
    try:
        uvloop.run(run(config, listener, early))
    except OSError as problem:
        print(f"proxy: {problem}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
