"""The configuration agent: executes the actions of the state machine in `core` and returns their results to it.

The agent watches the newest version at the keepers, writes the proxy's file, signals and polls the proxy, and reports
to the keepers. All decisions are made in `core`. Disk operations and signals run one at a time in the order in which
the core requested them; polls of the proxy run concurrently with them.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from mastlift.configuration import core as c
from mastlift.configuration.endpoint import Proxy, ProxyUnavailable
from mastlift.configuration.saved import SavedFile, load_saved, save_last_good, save_target, sync_directories
from mastlift.configuration.versions import (
    Rendered,
    Version,
    current_key,
    decode_version,
    digest_and_version,
    render,
    topic_of,
)
from mastlift.durable.disk import Disk, DiskFailed, DiskFull, write_file_atomically
from mastlift.keeper.client import KeeperClient, Refused, Unreachable
from mastlift.keeper.watch import follow
from mastlift.keeper.wire import value_of
from mastlift.logs import get_logger
from mastlift.metrics import Metrics
from mastlift.settings import BadSettings

RETRY_S, MAX_RETRY_S = 0.2, 3.0  # first and longest delay between attempts to watch while no keeper answers
REPORT_TIMEOUT_S = 4.0
WATCH_LAG_S = 0.5  # a watch may deliver a change this much later than the answer to a report shows it
MAX_REASON_CHARACTERS = 400
MAX_FILE_BYTES = 64 << 20
ReadBase = Callable[[], dict[str, Any]]


def now_ms() -> float:
    """The monotonic clock in ms."""
    return time.monotonic() * 1000.0


@dataclass(frozen=True, slots=True)
class AgentEnvironment:
    """The service and name of an agent, and the folders it uses.

    `file` in the folder `files` is the proxy's file; `state` is the agent's own folder. `read_base` returns the
    machine's part of the proxy's file; it raises BadSettings."""

    service: str
    name: str
    files: Disk
    file: str
    state: Disk
    read_base: ReadBase


@dataclass(frozen=True, slots=True)
class ReportTiming:
    """Intervals of the reports to the keepers, in seconds."""

    report_s: float = 3.0  # mean interval between reports without a change; also the time to detect a hanging watch
    spread_s: float = 0.2  # reports of a change are delayed by a random time up to this


class AgentMetrics:
    """Metrics of one agent, or of several agents in one process."""

    def __init__(self, metrics: Metrics) -> None:
        self.learned = metrics.counter("config_versions_learned", "Versions that a keeper told")
        self.writes = metrics.counter("config_file_writes", "Writes of the proxy's file", "outcome")
        self.signals = metrics.counter("config_signals", "Signals to the proxy", "outcome")
        self.reports = metrics.counter("config_reports", "Reports to keepers", "outcome")
        self.delay = metrics.duration_histogram("config_in_force", "From learning a version to seeing it in force")
        self.number = metrics.gauge("config_version_in_force", "Number of the version in force; 0: none is known")
        self.is_newest = metrics.gauge("config_newest_in_force", "1 while the newest known version is in force")
        self.hand_edits = metrics.gauge("config_hand_edits", "How often the file was found changed by another hand")


class Agent:
    """The agent of one proxy. `run` ends only when cancelled.

    `reporter` is a separate client. Its reports rotate through the keepers, so that a watch that hangs at one keeper is
    detected by the answer of another."""

    def __init__(
        self,
        environment: AgentEnvironment,
        proxy: Proxy,
        client: KeeperClient,
        reporter: KeeperClient,
        timing: c.Timing,
        report_timing: ReportTiming,
        metrics: AgentMetrics,
    ) -> None:
        self.environment, self.client, self.metrics = environment, client, metrics
        self._reporter = reporter
        self._proxy, self._report_timing = proxy, report_timing
        self.log = get_logger("config-agent").bind(service=environment.service, name=environment.name)
        self._base: dict[str, Any] = environment.read_base()
        self._version: Version | None = None
        self._rendered: dict[str, Rendered] = {}  # by digest; the files that may have to be written
        self.core = self._recover(timing)
        self._pending_actions: asyncio.Queue[c.Action] = asyncio.Queue()
        self._polls: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._report_changed = asyncio.Event()
        self._last_report = c.Report(c.Condition.NO_VERSION)
        self._unsaved_target: c.Candidate | None = None
        self._version_learned_at = 0.0
        self._life, self._changed = "", 0
        self._restart_watch = asyncio.Event()

    # --- start ---

    def _recover(self, timing: c.Timing) -> c.AgentCore:
        """Build the state machine from the files that the agent saved, so that a start needs no keeper."""
        sync_directories(self.environment.state, self.environment.files)
        saved, target, last_good = load_saved(self.environment.state, self.environment.service), None, None
        for problem in saved.problems:
            self.log.warning("saved_file_unusable", reason=problem)
        if saved.target is not None:
            target = self._candidate(saved.target)
        if saved.last_good is not None:
            one = Rendered(saved.last_good.id, saved.last_good.data.encode(), saved.last_good.digest)
            self._rendered[one.digest] = one
            last_good = c.Candidate(one.id, one.digest)
        self.log.info(
            "recovered", newest=str(target.id) if target else None, proven=str(last_good.id) if last_good else None
        )
        return c.AgentCore(timing, target=target, last_good=last_good)

    def _candidate(self, version: Version) -> c.Candidate:
        self._version = version
        one = render(self._base, version)
        self._rendered[one.digest] = one
        return c.Candidate(one.id, one.digest)

    async def run(self) -> None:
        tasks = [asyncio.create_task(part()) for part in (self._watch_versions, self._run_actions, self._send_reports)]
        try:
            self._feed(c.Tick())
            await asyncio.gather(*tasks)
        finally:
            for task in (*tasks, *self._polls):
                task.cancel()
            if self._timer is not None:
                self._timer.cancel()
            await asyncio.gather(*tasks, *self._polls, return_exceptions=True)

    # --- state machine ---

    def _feed(self, event: c.Event) -> None:
        now = now_ms()
        for action in self.core.handle(event, now):
            if isinstance(action, c.PollProxy):
                task = asyncio.create_task(self._poll_proxy())
                self._polls.add(task)
                task.add_done_callback(self._polls.discard)
            else:
                self._pending_actions.put_nowait(action)
        self._prune_rendered()
        if self._timer is not None:
            self._timer.cancel()
        wait_s = max(0.0, self.core.next_tick(now) - now) / 1000.0
        self._timer = asyncio.get_running_loop().call_later(wait_s, self._feed, c.Tick())
        self._update_report(now)

    def _prune_rendered(self) -> None:
        """Discard the rendered files that no longer have to be written."""
        core = self.core
        if len(self._rendered) > 3:
            needed = {one.digest for one in (core.target, core.last_good, *core.unconfirmed) if one is not None}
            self._rendered = {digest: one for digest, one in self._rendered.items() if digest in needed}

    async def _poll_proxy(self) -> None:
        try:
            self._feed(c.ProxyAnswered(await self._proxy.read()))
        except ProxyUnavailable as error:
            self._feed(c.ProxyUnresponsive(str(error), error.is_down))

    # --- disk operations and signals, one at a time ---

    async def _run_actions(self) -> None:
        while True:
            event = await self._execute(await self._pending_actions.get())
            if event is not None:
                self._feed(event)

    async def _execute(self, action: c.Action) -> c.Event | None:
        match action:
            case c.SaveTarget(candidate):
                await self._save_target(candidate)
            case c.SaveLastGood(candidate):
                return await self._save_last_good(candidate)
            case c.WriteFile(candidate):
                return await self._write(candidate)
            case c.SendSignal():
                return await self._signal()
            case c.CheckFile():
                return await self._check_file()
        return None

    async def _write(self, candidate: c.Candidate) -> c.Event:
        one = self._rendered.get(candidate.digest)
        if one is None:
            return c.FileFailed(candidate, "its content is not known here any more")
        try:
            await asyncio.to_thread(write_file_atomically, self.environment.files, self.environment.file, one.data)
        except (DiskFull, DiskFailed, OSError) as error:
            self.metrics.writes.labels("failed").inc()
            return c.FileFailed(candidate, str(error))
        self.metrics.writes.labels("written").inc()
        return c.FileWritten(candidate)

    async def _signal(self) -> c.Event:
        try:
            before = await self._proxy.reload()
        except ProxyUnavailable as error:
            self.metrics.signals.labels("failed").inc()
            return c.SignalFailed(str(error))
        self.metrics.signals.labels("sent").inc()
        return c.SignalSent(before)

    async def _save_target(self, candidate: c.Candidate) -> None:
        """Save the newest version. A failed save is retried at the next check of the file."""
        version = self._version
        if version is None or version.id != candidate.id:
            return  # the action to save a newer version is already queued
        try:
            await asyncio.to_thread(save_target, self.environment.state, version)
            self._unsaved_target = None
        except (DiskFull, DiskFailed, OSError) as error:
            self._unsaved_target = candidate
            self.log.warning("newest_not_saved", reason=str(error), version=version.id.number)

    async def _save_last_good(self, candidate: c.Candidate) -> c.Event:
        try:
            one = await self._last_good_file(candidate)
            saved_file = SavedFile(self.environment.service, one.id, one.digest, one.data.decode())
            await asyncio.to_thread(save_last_good, self.environment.state, saved_file)
        except (DiskFull, DiskFailed, OSError, ValueError) as error:
            self.log.warning("version_in_force_not_saved", reason=str(error), version=candidate.id.number)
            return c.LastGoodNotSaved(candidate, str(error))
        return c.LastGoodSaved(candidate)

    async def _last_good_file(self, candidate: c.Candidate) -> Rendered:
        """The file of a version in force, read from disk if this process did not render it.

        Raises ValueError or OSError if that file has been replaced or removed since."""
        one = self._rendered.get(candidate.digest)
        if one is None:
            data = await asyncio.to_thread(self._read_file)
            if digest_and_version(data, self.environment.service)[0] != candidate.digest:
                raise ValueError("the file in force was replaced before it could be kept")
            one = self._rendered[candidate.digest] = Rendered(candidate.id, data, candidate.digest)
        return one

    def _read_file(self) -> bytes:
        return self.environment.files.read(self.environment.file, 0, MAX_FILE_BYTES)

    async def _check_file(self) -> c.Event:
        if self._unsaved_target is not None:
            await self._save_target(self._unsaved_target)
        self._check_base()
        try:
            data = await asyncio.to_thread(self._read_file)
            digest, version = digest_and_version(data, self.environment.service)
        except (OSError, ValueError):
            return c.FileChecked("", None)
        if version is not None:
            self._rendered.setdefault(digest, Rendered(version, data, digest))
        return c.FileChecked(digest, version)

    def _check_base(self) -> None:
        try:
            base = self.environment.read_base()
        except BadSettings as error:
            self.log.warning("base_file_unusable", reason=str(error))
            return
        if base != self._base:
            self._base = base
            self.log.info("base_file_changed")
            if self._version is not None:
                self._feed(c.VersionLearned(self._candidate(self._version)))

    # --- watching the keepers ---

    async def _watch_versions(self) -> None:
        """Watch the newest version at one keeper and change to another keeper on errors or when the watch hangs."""
        pause = RETRY_S
        while True:
            self._restart_watch.clear()
            following = asyncio.create_task(self._follow())
            again = asyncio.create_task(self._restart_watch.wait())
            try:
                await asyncio.wait({following, again}, return_when=asyncio.FIRST_COMPLETED)
                if again.done():
                    self.client.use_next_keeper()
                    pause = RETRY_S
                    continue
                following.result()
            except (Refused, Unreachable) as error:
                self.log.warning("no_keeper", reason=str(error))
                await asyncio.sleep(self.client.jittered(pause))
                pause = min(pause * 2, MAX_RETRY_S)
            finally:
                for task in (following, again):
                    task.cancel()
                await asyncio.gather(following, again, return_exceptions=True)

    async def _follow(self) -> None:
        key = current_key(self.environment.service)
        whole = await self.client.ls(key)
        self._life = whole["life"]
        self._apply_entries(whole["entries"], key)
        async for answer in follow(self.client, key, whole["revision"]):
            self._apply_entries(answer.changes, key)

    def _apply_entries(self, entries: list[dict[str, Any]], key: str) -> None:
        for entry in entries:
            if entry["key"] == key and not entry.get("deleted"):
                self._changed = entry["changed"]
                self._apply_version(value_of(entry))

    def _apply_version(self, value: bytes) -> None:
        try:
            version = decode_version(value, self.environment.service)
        except ValueError as error:
            self.log.error("version_unusable", reason=str(error))
            return
        if self._version is not None and version.id <= self._version.id:
            return
        self.metrics.learned.inc()
        self._version_learned_at = now_ms()
        self.log.info("version_learned", version=version.id.number)
        self._feed(c.VersionLearned(self._candidate(version)))

    # --- reports ---

    def report(self) -> c.Report:
        """The current report, with `since_ms` as Unix time in ms instead of monotonic time."""
        now = now_ms()
        report = self.core.report(now)
        since = time.time() * 1000.0 - (now - report.since_ms) if report.in_force else 0.0
        return msgspec.structs.replace(report, since_ms=round(since), reason=report.reason[:MAX_REASON_CHARACTERS])

    def _update_report(self, now: float) -> None:
        report = self.core.report(now)
        if report == self._last_report:
            return
        before, self._last_report = self._last_report, report
        self._report_changed.set()
        self.metrics.hand_edits.set(report.hand_edits)
        self.metrics.number.set(report.in_force.number if report.in_force else 0)
        self.metrics.is_newest.set(report.condition is c.Condition.IN_FORCE)
        if (report.condition, report.in_force) != (before.condition, before.in_force):
            self._log_report(report, now)
        if report.hand_edits > before.hand_edits:
            self.log.warning("file_edited_by_hand", do="it is put back; use `mastlift config put`")

    def _log_report(self, report: c.Report, now: float) -> None:
        in_force = report.in_force.number if report.in_force else None
        if report.condition is c.Condition.IN_FORCE and self._version_learned_at:
            self.metrics.delay.observe((now - self._version_learned_at) / 1000.0)
            self._version_learned_at = 0.0
        log_line = (
            self.log.info if report.condition in (c.Condition.IN_FORCE, c.Condition.PENDING) else self.log.warning
        )
        log_line("proxy", condition=report.condition.value, in_force=in_force, reason=report.reason)

    async def _send_reports(self) -> None:
        """Report each change after a short random delay, and without a change at random intervals around `report_s`.

        A report without a change goes to the next keeper, see `Agent`."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._report_timing.report_s * random.uniform(0.8, 1.2)):
                    await self._report_changed.wait()
                    await asyncio.sleep(random.uniform(0.0, self._report_timing.spread_s))
            if not self._report_changed.is_set():
                self._reporter.use_next_keeper()
            self._report_changed.clear()
            await self.send_report()

    async def send_report(self) -> None:
        """Send the report to one keeper. If its answer shows a change that the watch did not deliver within
        WATCH_LAG_S, the watch is restarted."""
        service, key = self.environment.service, current_key(self.environment.service)
        try:
            answer = await self._reporter.report(
                topic_of(service), self.environment.name, msgspec.json.encode(self.report()), key, REPORT_TIMEOUT_S
            )
        except (Refused, Unreachable) as error:
            self.metrics.reports.labels("failed").inc()
            self.log.warning("not_reported", reason=str(error))
            return
        self.metrics.reports.labels("taken").inc()
        if self._is_behind(answer):
            asyncio.get_running_loop().call_later(WATCH_LAG_S, self._restart_watch_if_behind, answer)

    def _is_behind(self, answer: dict[str, Any]) -> bool:
        return bool(self._life) and (answer["life"] != self._life or answer["changed"] > self._changed)

    def _restart_watch_if_behind(self, answer: dict[str, Any]) -> None:
        if self._is_behind(answer):
            self.log.warning("watch_hangs", do="another keeper is asked")
            self._restart_watch.set()
