"""The state machine of one proxy's configuration agent. Pure: it takes events and a time in ms and returns actions.

The agent applies a version by a trial: it writes the proxy's file, signals the proxy, and polls it until the digest
that the proxy reports is the digest of the file. A version that was seen in force is a last good version. Whenever no
trial is in progress, the file holds the last good version, so that a proxy that restarts does not read a file that it
would refuse. A proxy that stays down gets the newest and the last good file in alternation, because either one may be
what keeps it from starting. Trials start at least `spacing_ms` apart; of the versions that arrive in between, only the
newest is tried.

Within one process of the proxy, no version follows a newer one. Across restarts of the proxy, no version follows a
newer one that was reported in force. For this reason a version is reported in force only after its file was also saved
to disk.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

import msgspec

from mastlift.configuration.versions import INSTALLED, VersionId

MAX_UNCONFIRMED = 8  # written files that the proxy may have loaded but was not seen to load


@dataclass(frozen=True, slots=True)
class Timing:
    """Intervals and time limits of the agent, in milliseconds."""

    spacing_ms: float = 1000.0  # minimum time between the starts of two trials
    confirm_ms: float = 2000.0  # time limit for the proxy to show the outcome of a signal
    confirm_poll_ms: float = 50.0  # polling interval while a trial waits for its outcome
    poll_ms: float = 2000.0  # polling interval outside of trials
    file_check_ms: float = 2000.0  # interval between two checks of the file
    retry_ms: float = 1000.0  # delay after a failed write
    # A proxy that was up and does not answer counts as restarting for this long. While it stays down, the agent
    # alternates between the two candidate files at this interval.
    restart_ms: float = 10_000.0


@dataclass(frozen=True, slots=True)
class Candidate:
    """A version and the digest of the file rendered from it on this machine."""

    id: VersionId
    digest: str


@dataclass(frozen=True, slots=True)
class ProxyState:
    """The proxy's answer at its admin endpoint.

    Contains the process id, the digest and version in force, the number of reloads since the process started, and the
    reason why the last reload was refused (empty if it was accepted)."""

    pid: int
    digest: str
    version: VersionId | None
    reloads: int
    refused: str


# --- events ---


@dataclass(frozen=True, slots=True)
class VersionLearned:
    """A keeper sent a version, or the same version was rendered again because the machine's base file changed."""

    candidate: Candidate


@dataclass(frozen=True, slots=True)
class FileChecked:
    """Result of a check of the proxy's file. `digest` is empty if the file is missing or unreadable."""

    digest: str
    version: VersionId | None


@dataclass(frozen=True, slots=True)
class FileWritten:
    candidate: Candidate


@dataclass(frozen=True, slots=True)
class FileFailed:
    candidate: Candidate
    reason: str


@dataclass(frozen=True, slots=True)
class LastGoodSaved:
    candidate: Candidate


@dataclass(frozen=True, slots=True)
class LastGoodNotSaved:
    candidate: Candidate
    reason: str


@dataclass(frozen=True, slots=True)
class SignalSent:
    """SIGHUP was sent. `before` is the state that the signalled process reported immediately before the signal."""

    before: ProxyState


@dataclass(frozen=True, slots=True)
class SignalFailed:
    reason: str


@dataclass(frozen=True, slots=True)
class ProxyAnswered:
    proxy_state: ProxyState


@dataclass(frozen=True, slots=True)
class ProxyUnresponsive:
    """The proxy did not answer a poll.

    `is_down` is set if no process listens on the admin endpoint. Otherwise the process may still be alive and may still
    act on a signal that it was sent."""

    reason: str
    is_down: bool


@dataclass(frozen=True, slots=True)
class Tick:
    """No input; only the time advances."""


Event = (
    VersionLearned
    | FileChecked
    | FileWritten
    | FileFailed
    | LastGoodSaved
    | LastGoodNotSaved
    | SignalSent
    | SignalFailed
    | ProxyAnswered
    | ProxyUnresponsive
    | Tick
)


# --- actions ---


@dataclass(frozen=True, slots=True)
class SaveTarget:
    """Save the newest version, so that the agent can start while no keeper is reachable."""

    candidate: Candidate


@dataclass(frozen=True, slots=True)
class SaveLastGood:
    """Save the file that was seen in force. Answered by LastGoodSaved or LastGoodNotSaved."""

    candidate: Candidate


@dataclass(frozen=True, slots=True)
class WriteFile:
    candidate: Candidate


@dataclass(frozen=True, slots=True)
class SendSignal:
    """Send SIGHUP to the process that answers at the proxy's admin endpoint."""


@dataclass(frozen=True, slots=True)
class PollProxy:
    """Read the proxy's admin endpoint."""


@dataclass(frozen=True, slots=True)
class CheckFile:
    """Read the file's digest and version."""


Action = SaveTarget | SaveLastGood | WriteFile | SendSignal | PollProxy | CheckFile


class Phase(StrEnum):
    """The step that a trial or a repair of the file is at."""

    IDLE = "idle"
    REPAIRING = "repairing"  # the file is rewritten without a signal to the proxy
    WRITING = "writing"
    SIGNALLING = "signalling"
    CONFIRMING = "confirming"


class Condition(StrEnum):
    """The condition of a proxy as shown to operators."""

    IN_FORCE = "in force"
    PENDING = "pending"
    REFUSED = "refused"
    RESTARTING = "restarting"
    UNREACHABLE = "unreachable"
    FAILED = "failed"  # the file could not be written or saved, or the signal failed or had no effect
    AHEAD = "ahead"  # the proxy has a newer version than the keepers, for example after a restored backup
    NO_VERSION = "no version"


class Report(msgspec.Struct, frozen=True):
    """The condition of one proxy.

    `in_force` is only ever the version that the proxy itself reported in its last answer. `since_ms` is the time on the
    agent's clock at which that version was first seen in force."""

    condition: Condition
    in_force: VersionId | None = None
    since_ms: float = 0.0
    pending: VersionId | None = None
    reason: str = ""
    hand_edits: int = 0


@dataclass(slots=True)
class AgentCore:
    """The agent's state.

    `target` is the newest known version, `last_good` the version that was last seen in force. Both start with the
    values that an earlier run of the agent saved, if there are any."""

    timing: Timing = field(default_factory=Timing)
    target: Candidate | None = None
    last_good: Candidate | None = None
    phase: Phase = Phase.IDLE
    trial_candidate: Candidate | None = None
    proxy_state: ProxyState | None = None
    hand_edits: int = 0
    # Versions whose files were written after `last_good`; the proxy may have loaded any of them.
    unconfirmed: list[Candidate] = field(default_factory=list)
    _refusals: dict[str, str] = field(default_factory=dict)  # reason of the refusal by digest
    _failure: str = ""
    _file_digest: str | None = None  # digest of the file's content; None until the first check
    _adopted_version_in_force: bool = False  # set once the proxy has answered and the file was checked
    _min_version: VersionId = INSTALLED  # no older version is written
    _state_before_signal: ProxyState | None = None
    _in_force: Candidate | None = None
    _in_force_since: float = 0.0
    _unresponsive_since: float | None = None
    _down_since: float | None = None
    _unresponsive_reason: str = ""
    _seen_up: bool = False
    # Number of the `restart_ms` interval since `_down_since` in which the newest file was last written.
    _last_newest_interval: int = 0
    _hand_edited: bool = False
    _saved_last_good: Candidate | None = None  # the last good version that is on disk
    _save_error: str = ""
    _retry_save_at: float = 0.0  # 0: no retry is due
    _next_trial: float = 0.0
    _next_write: float = 0.0
    _confirm_deadline: float = 0.0
    _next_poll: float = 0.0
    _next_file_check: float = 0.0
    _poll_pending: bool = False
    _file_check_pending: bool = False
    _actions: list[Action] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._min_version = self.last_good.id if self.last_good is not None else INSTALLED
        self._saved_last_good = self.last_good

    def handle(self, event: Event, now: float) -> list[Action]:
        """Process one event and return the actions to execute, in order. `now` is in ms of a monotonic clock."""
        self._actions = []
        match event:
            case VersionLearned(candidate):
                self._learned(candidate)
            case FileChecked():
                self._file_checked(event, now)
            case FileWritten(candidate):
                self._written(candidate, now)
            case FileFailed(candidate, reason):
                self._write_failed(candidate, reason, now)
            case LastGoodSaved(candidate):
                self._saved_last_good, self._save_error = candidate, ""
            case LastGoodNotSaved(candidate, reason):
                self._save_error, self._retry_save_at = reason, now + self.timing.retry_ms
            case SignalSent(before):
                self._signalled(before, now)
            case SignalFailed(reason):
                self._signal_failed(reason, now)
            case ProxyAnswered(proxy_state):
                self._answered(proxy_state, now)
            case ProxyUnresponsive():
                self._proxy_unresponsive(event, now)
            case Tick():
                pass
        self._retry_save(now)
        self._decide(now)
        self._start_polls(now)
        return self._actions

    # --- events ---

    def _learned(self, candidate: Candidate) -> None:
        if self.target is not None and not self._is_newer(candidate, self.target):
            return
        self.target, self._failure = candidate, ""
        needed_digests = {one.digest for one in (candidate, self.last_good) if one is not None}
        self._refusals = {digest: reason for digest, reason in self._refusals.items() if digest in needed_digests}
        self._actions.append(SaveTarget(candidate))

    @staticmethod
    def _is_newer(candidate: Candidate, than: Candidate) -> bool:
        """The same version with another digest counts as newer, because the machine's base file changed."""
        return candidate.id > than.id or (candidate.id == than.id and candidate.digest != than.digest)

    def _file_checked(self, seen: FileChecked, now: float) -> None:
        self._file_check_pending, self._next_file_check = False, now + self.timing.file_check_ms
        if self.phase is not Phase.IDLE:
            return  # the check may have read the file before the write that is in progress
        if self._file_digest is None:
            self._adopt_file(seen)
        elif seen.digest != self._file_digest:
            self.hand_edits += 1
            self._hand_edited = True
        self._file_digest = seen.digest
        self._adopt_version_in_force()

    def _adopt_file(self, seen: FileChecked) -> None:
        """Without a saved last good version, the file that is found counts as one, so that no older one is written."""
        if not seen.digest:
            return
        found = Candidate(seen.version or INSTALLED, seen.digest)
        if self.last_good is None:
            self._set_last_good(found)
        elif seen.version is not None:
            self._add_unconfirmed(found)  # written by an earlier run of the agent; the proxy may have loaded it

    def _adopt_version_in_force(self) -> None:
        """Adopt the version in force; an earlier run of the agent may have ended before it saved that version."""
        proxy_state = self.proxy_state
        if self._adopted_version_in_force or proxy_state is None or self._file_digest is None:
            return
        self._adopted_version_in_force = True
        found = Candidate(proxy_state.version or INSTALLED, proxy_state.digest)
        self._min_version = max(self._min_version, found.id)
        if proxy_state.digest == self._file_digest:
            self._set_last_good(found)

    def _set_last_good(self, candidate: Candidate) -> None:
        if self.last_good != candidate and candidate.id >= self._min_version:
            self.last_good, self._min_version = candidate, max(self._min_version, candidate.id)
            self.unconfirmed = [one for one in self.unconfirmed if one.id > candidate.id]
            self._actions.append(SaveLastGood(candidate))

    def _retry_save(self, now: float) -> None:
        if self._retry_save_at and now >= self._retry_save_at and self.last_good is not None:
            self._retry_save_at = 0.0
            if self.last_good != self._saved_last_good:
                self._actions.append(SaveLastGood(self.last_good))

    def _written(self, candidate: Candidate, now: float) -> None:
        self._file_digest, self._next_file_check = candidate.digest, now + self.timing.file_check_ms
        if self.phase is Phase.WRITING:
            self.phase = Phase.SIGNALLING
            self._actions.append(SendSignal())
        elif self.phase is Phase.REPAIRING:
            self.phase, self._hand_edited, self._failure = Phase.IDLE, False, ""

    def _write_failed(self, candidate: Candidate, reason: str, now: float) -> None:
        self._failure = f"the file of version {candidate.id} could not be written: {reason}"
        self._next_write = now + self.timing.retry_ms
        self._end_trial()

    def _signalled(self, before: ProxyState, now: float) -> None:
        if self.phase is Phase.SIGNALLING:
            self._state_before_signal, self.phase = before, Phase.CONFIRMING
            self._confirm_deadline = now + self.timing.confirm_ms
            self._next_poll = now

    def _signal_failed(self, reason: str, now: float) -> None:
        if self.phase is Phase.SIGNALLING:
            self._failure = reason
            self._end_trial()
            self._next_poll = now

    def _end_trial(self) -> None:
        self.phase, self.trial_candidate, self._state_before_signal = Phase.IDLE, None, None

    # --- the proxy ---

    def _answered(self, proxy_state: ProxyState, now: float) -> None:
        self._poll_pending, self._unresponsive_since, self._down_since, self._seen_up = False, None, None, True
        self.proxy_state = proxy_state
        self._adopt_version_in_force()
        shown = self._candidate_by_digest(proxy_state.digest)
        self._set_in_force(shown, now)
        if shown is not None:
            self._set_last_good(shown)
        if self.phase is Phase.CONFIRMING:
            self._confirm(proxy_state, now)
        elif self.phase is Phase.IDLE and shown is not None and shown == self.target:
            self._failure = ""
        self._next_poll = now + (self.timing.confirm_poll_ms if self.phase is Phase.CONFIRMING else self.timing.poll_ms)

    def _candidate_by_digest(self, digest: str) -> Candidate | None:
        return next(
            (
                one
                for one in (self.target, self.last_good, *self.unconfirmed)
                if one is not None and one.digest == digest
            ),
            None,
        )

    def _set_in_force(self, shown: Candidate | None, now: float) -> None:
        if shown != self._in_force:
            self._in_force, self._in_force_since = shown, now

    def _confirm(self, proxy_state: ProxyState, now: float) -> None:
        trial_candidate, before = self.trial_candidate, self._state_before_signal
        assert trial_candidate is not None and before is not None
        if proxy_state.digest == trial_candidate.digest:
            self._failure, self._hand_edited = "", False
            self._end_trial()
        elif proxy_state.pid != before.pid:
            self._end_trial()  # the proxy restarted and read the file anew, so its new state decides
        elif proxy_state.reloads > before.reloads and proxy_state.refused:
            self._refusals[trial_candidate.digest] = proxy_state.refused
            self._end_trial()
        elif proxy_state.reloads > before.reloads:
            self._failure = "the proxy read another file in between"
            self._end_trial()
        elif now >= self._confirm_deadline:
            self._failure = f"the proxy (process {proxy_state.pid}) does not act on SIGHUP"
            self._end_trial()

    def _proxy_unresponsive(self, unresponsive: ProxyUnresponsive, now: float) -> None:
        self._poll_pending, self.proxy_state, self._unresponsive_reason = False, None, unresponsive.reason
        if self._unresponsive_since is None:
            self._unresponsive_since = now
        if not unresponsive.is_down:
            self._down_since = None
        elif self._down_since is None:
            self._down_since, self._last_newest_interval = now, 0
        self._in_force = None
        if self.phase is Phase.CONFIRMING and now >= self._confirm_deadline:
            self._end_trial()
        poll_soon = self.phase is Phase.CONFIRMING or now - self._unresponsive_since < self.timing.poll_ms
        self._next_poll = now + (self.timing.confirm_poll_ms * 4 if poll_soon else self.timing.poll_ms / 2)

    # --- decisions ---

    def _desired_candidate(self) -> Candidate | None:
        """The version that should be in force: the newest one that was not refused and is not below the minimum."""
        for one in (self.target, self.last_good):
            if one is not None and one.id >= self._min_version and one.digest not in self._refusals:
                return one
        return None

    def _decide(self, now: float) -> None:
        if self.phase is not Phase.IDLE or self._file_digest is None:
            return
        desired = self._desired_candidate()
        if desired is None:
            return
        if self.proxy_state is None:
            self._decide_unresponsive(desired, now)
        elif self.proxy_state.digest != desired.digest:
            if now >= max(self._next_trial, self._next_write):
                self._begin_trial(desired, now)
            else:
                self._repair(self.last_good, now)
        else:
            self._repair(desired, now)

    def _decide_unresponsive(self, desired: Candidate, now: float) -> None:
        """Choose the file for a proxy that does not answer.

        A proxy that starts reads the file, so the file has to be one with which it is known to start. The file of a
        proxy that hangs is left alone: the proxy may have loaded it, and reads it again if it resumes with a signal
        pending."""
        if self._down_since is None:
            return
        interval = int((now - self._down_since) // self.timing.restart_ms)
        if interval % 2 == 0 and self.last_good is not None:
            self._repair(self.last_good, now)
        elif interval % 2 == 0 and self._file_digest:
            return
        # Without any file, on a new machine, the newest one is written at once; otherwise once per odd interval.
        elif interval != self._last_newest_interval or not self._file_digest:
            self._last_newest_interval = interval
            self._repair(desired, now)

    def _begin_trial(self, desired: Candidate, now: float) -> None:
        self.phase, self.trial_candidate, self._next_trial = Phase.WRITING, desired, now + self.timing.spacing_ms
        self._write(desired)

    def _repair(self, candidate: Candidate | None, now: float) -> None:
        """Rewrite the file if it differs from the candidate, without a signal to the proxy."""
        if candidate is None or candidate.id < self._min_version:
            return
        if self._file_digest != candidate.digest and now >= self._next_write:
            self.phase = Phase.REPAIRING
            self._write(candidate)

    def _write(self, candidate: Candidate) -> None:
        self._add_unconfirmed(candidate)
        self._actions.append(WriteFile(candidate))

    def _add_unconfirmed(self, candidate: Candidate) -> None:
        if candidate != self.last_good and candidate not in self.unconfirmed:
            self.unconfirmed = [*self.unconfirmed, candidate][-MAX_UNCONFIRMED:]

    def _start_polls(self, now: float) -> None:
        if not self._poll_pending and now >= self._next_poll:
            self._poll_pending = True
            self._actions.append(PollProxy())
        if not self._file_check_pending and self.phase is Phase.IDLE and now >= self._next_file_check:
            self._file_check_pending = True
            self._actions.append(CheckFile())

    def next_tick(self, now: float) -> float:
        """The time in ms by which `handle` has to be called with a Tick if no other event comes first."""
        times = [self._next_poll, self._next_file_check, self._next_trial, self._next_write, self._retry_save_at]
        return min((at for at in times if at > now), default=now + self.timing.poll_ms)

    # --- reports ---

    def report(self, now: float) -> Report:
        shown = self._in_force
        pending = self.target if self.target is not None and self.target != shown else None
        condition, reason = self._condition(now)
        return Report(
            condition,
            shown.id if shown else None,
            self._in_force_since if shown else 0.0,
            pending.id if pending else None,
            reason,
            self.hand_edits,
        )

    def _condition(self, now: float) -> tuple[Condition, str]:
        target = self.target
        if target is not None and target.digest in self._refusals:
            return Condition.REFUSED, self._refusals[target.digest]
        if self._unresponsive_since is not None:
            is_restarting = self._seen_up and now - self._unresponsive_since < self.timing.restart_ms
            return (Condition.RESTARTING if is_restarting else Condition.UNREACHABLE), self._unresponsive_reason
        if target is None:
            return Condition.NO_VERSION, "no version of this service is known"
        if target.id < self._min_version:
            return Condition.AHEAD, f"version {self._min_version} is newer than the keepers' {target.id}"
        if self.proxy_state is not None and self.proxy_state.digest == target.digest:
            return self._condition_in_force(target)
        if self._failure:
            return Condition.FAILED, self._failure
        return Condition.PENDING, "the file was edited by hand" if self._hand_edited else ""

    def _condition_in_force(self, target: Candidate) -> tuple[Condition, str]:
        if self._saved_last_good == target:
            return Condition.IN_FORCE, self._failure or ("the file was edited by hand" if self._hand_edited else "")
        if self._save_error:
            return Condition.FAILED, f"it is in force, but could not be kept on disk: {self._save_error}"
        return Condition.PENDING, ""
