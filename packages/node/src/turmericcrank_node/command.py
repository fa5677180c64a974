"""Command line of the daemon: ``turmericcrankd --settings=FILE``."""

import sys

import fire
import trio
from turmericcrank_core.constraints import FieldError

from turmericcrank_node.node import run_node
from turmericcrank_node.settings import read_settings

__all__ = ('main', 'start_daemon')

_EXIT_INVALID_SETTINGS = 2


def start_daemon(settings: str, check_only: bool = False) -> None:
    """Run a node.

    Args:
        settings: Path of the settings file, JSON with comments.
        check_only: Validate the settings and exit.
    """
    checked = read_settings(settings)
    if checked.is_error():
        _exit_with_errors(checked.error)
    if check_only:
        sys.stdout.write('the settings are valid\n')
        return
    trio.run(run_node, checked.ok)


def main() -> None:
    """Run the command line."""
    fire.Fire(start_daemon)


def _exit_with_errors(field_errors: list[FieldError]) -> None:
    for field_error in field_errors:
        sys.stderr.write(f'turmericcrankd: {field_error}\n')
    sys.exit(_EXIT_INVALID_SETTINGS)
