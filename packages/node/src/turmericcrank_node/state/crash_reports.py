"""Keeps what this node still has to tell other nodes about crashes.

Load pattern: many upstreams crash at the same time, and every node reports its
requests there. Each gossip round sends only so many bytes of reports, so that
they do not delay changes of the tables and the proofs of current copies.
"""

import enum
import itertools
from collections.abc import Callable, Hashable, Iterator
from dataclasses import dataclass, field
from typing import TypeVar

from turmericcrank_core.crash_evidence import CrashRecord

__all__ = (
    'Audience',
    'CrashReports',
    'PendingReport',
    'iter_pending',
    'start_report_round',
)

# A report is sent more than once, since messages may be lost.
_N_ROUNDS = 3
# About 10 s; by then other reports tell of the same crash.
_MAX_ROUNDS_WAITED = 12
_CRASH_BYTES = 32
_SUSPECT_BYTES = 24
_KEY_BYTES = 14
_OUTPUT_BYTES = 26
_BLOCK_BYTES = 40
_Subject = TypeVar('_Subject', bound=Hashable)


class Audience(enum.Enum):
    """Which nodes depend on this node to hear of something."""

    everyone = enum.auto()
    own_cell = enum.auto()
    other_cells = enum.auto()


@dataclass(slots=True)
class PendingReport:
    """A report that is sent in some gossip rounds.

    Attributes:
        audience: Nodes that it is sent to.
        is_due: Whether the current round sends it.
        n_sent: Rounds that have sent it.
        n_waited: Rounds that have begun since it was added.
    """

    audience: Audience = Audience.everyone
    is_due: bool = False
    n_sent: int = 0
    n_waited: int = 0


@dataclass(slots=True)
class CrashReports:
    """Reports of this node, by their subject.

    Attributes:
        by_crash: Crashes.
        by_output: Output that cleared a suspect: key, and time on the cluster
            clock in seconds.
        by_block: Keys of blocks that have changed.
    """

    by_crash: dict[CrashRecord, PendingReport] = field(default_factory=dict)
    by_output: dict[tuple[str, float], PendingReport] = field(
        default_factory=dict
    )
    by_block: dict[frozenset[str], PendingReport] = field(default_factory=dict)


def iter_pending(
    by_subject: dict[_Subject, PendingReport], audience: Audience
) -> Iterator[_Subject]:
    """Yield the subjects of the reports that an audience gets now."""
    for subject, report in by_subject.items():
        if report.is_due and report.audience in {audience, Audience.everyone}:
            yield subject


def start_report_round(reports: CrashReports, max_bytes: float) -> None:
    """Choose what a gossip round sends; drop what was sent often enough.

    Args:
        reports: Changed in place.
        max_bytes: Bytes of reports that each message may hold.
    """
    for by_subject in (reports.by_crash, reports.by_output, reports.by_block):
        _expire_reports(by_subject)
    # Blocks protect upstreams at once, so they go first.
    left_bytes = _choose_due(reports.by_block, _block_bytes, max_bytes)
    left_bytes = _choose_due(reports.by_crash, _crash_bytes, left_bytes)
    _choose_due(reports.by_output, _output_bytes, left_bytes)


def _expire_reports(by_subject: dict[_Subject, PendingReport]) -> None:
    for subject, report in list(by_subject.items()):
        report.n_waited += 1
        is_old = report.n_waited > _MAX_ROUNDS_WAITED
        if is_old or report.n_sent >= _N_ROUNDS:
            by_subject.pop(subject)


def _choose_due(
    by_subject: dict[_Subject, PendingReport],
    count_bytes: Callable[[_Subject], int],
    max_bytes: float,
) -> float:
    """Choose reports up to a size, the least sent first.

    The first one is chosen whatever its size, or it would never be sent.

    Returns:
        Bytes that are left.
    """
    ordered = sorted(by_subject.items(), key=lambda pair: pair[1].n_sent)
    ends = itertools.accumulate(count_bytes(subject) for subject, _ in ordered)
    left_bytes = max_bytes
    for (_, report), end_bytes in zip(ordered, ends, strict=True):
        is_first = left_bytes == max_bytes
        report.is_due = max_bytes > 0 and (is_first or end_bytes <= max_bytes)
        report.n_sent += report.is_due
        if report.is_due:
            left_bytes = max_bytes - end_bytes
    return left_bytes


def _crash_bytes(crash: CrashRecord) -> int:
    n_keys = sum(len(suspect.parts) for suspect in crash.suspects)
    n_bytes = _CRASH_BYTES + _SUSPECT_BYTES * len(crash.suspects)
    return n_bytes + _KEY_BYTES * n_keys


def _output_bytes(_output: tuple[str, float]) -> int:
    return _OUTPUT_BYTES


def _block_bytes(keys: frozenset[str]) -> int:
    return _BLOCK_BYTES + _KEY_BYTES * len(keys)
