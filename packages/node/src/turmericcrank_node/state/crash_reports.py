"""Keeps what this node still has to tell other nodes about crashes."""

import enum
from collections.abc import Hashable, Iterator
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
        n_rounds: Rounds that have begun since it was added.
    """

    audience: Audience = Audience.everyone
    n_rounds: int = 0


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
    """Yield the subjects of the reports that an audience gets."""
    for subject, report in by_subject.items():
        if report.audience in {audience, Audience.everyone}:
            yield subject


def start_report_round(reports: CrashReports) -> None:
    """Count a gossip round, and drop what enough rounds have sent."""
    for by_subject in (reports.by_crash, reports.by_output, reports.by_block):
        _count_round(by_subject)


def _count_round(by_subject: dict[_Subject, PendingReport]) -> None:
    for subject, report in list(by_subject.items()):
        report.n_rounds += 1
        if report.n_rounds > _N_ROUNDS:
            by_subject.pop(subject)
