"""Plays one run: ``python -m tests.soak --seed 7 --kinds term,hup,pause``."""

import argparse
import asyncio
import dataclasses
import pathlib
import pickle
import sys
import tempfile

from tests.soak.figures import list_events, sum_up
from tests.soak.finding import Finding
from tests.soak.judge_budget import judge_budget
from tests.soak.judge_lost import judge_lost
from tests.soak.play import play
from tests.soak.record import Run
from tests.soak.scene import ALL_KINDS, Options

__all__ = ('judge', 'main')

_NUMBERS = (
    'n_nodes',
    'n_clients',
    'n_engines',
    'think_s',
    'longest_pause_s',
    'crash_period_s',
)


def judge(run: Run) -> list[Finding]:
    """Return the findings of both judges."""
    return [*judge_lost(run), *judge_budget(run)]


def main() -> int:
    """Play a run, print its figures and what the judges found."""
    arguments = _read_arguments()
    kinds = (
        ALL_KINDS if arguments.kinds == 'all' else arguments.kinds.split(',')
    )
    options = Options(
        seed=arguments.seed,
        seconds=arguments.seconds,
        kinds=frozenset(kind for kind in kinds if kind),
    )
    given = {
        name: getattr(arguments, name)
        for name in _NUMBERS
        if getattr(arguments, name) is not None
    }
    options = dataclasses.replace(options, **given)
    folder = arguments.folder or pathlib.Path(tempfile.mkdtemp())
    folder.mkdir(parents=True, exist_ok=True)
    run = asyncio.run(play(options, folder))
    (folder / 'run.pickle').write_bytes(pickle.dumps(run))
    events = '\n'.join(list_events(run))
    (folder / 'events.txt').write_text(f'{events}\n')
    sys.stdout.write(f'{sum_up(run)}\n{folder}\n')
    findings = judge(run)
    for finding in findings:
        sys.stdout.write(f'{finding.rule} {finding.line}: {finding.text}\n')
    return int(bool(findings))


def _read_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog='tests.soak')
    parser.add_argument('--seed', type=int, required=True)
    parser.add_argument('--seconds', type=float, default=60)
    parser.add_argument(
        '--kinds', default='', help=f'all, or some of {",".join(ALL_KINDS)}'
    )
    parser.add_argument('--folder', type=pathlib.Path)
    for name in _NUMBERS:
        kind = int if name.startswith('n_') else float
        parser.add_argument(f'--{name.replace("_", "-")}', type=kind)
    return parser.parse_args()


if __name__ == '__main__':
    sys.exit(main())
