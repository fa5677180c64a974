"""The operators' command line: ``turmericcrank COMMAND``."""

import hashlib
import json
import pathlib
import secrets
import sys
from collections.abc import Iterable
from typing import Any, NoReturn

import fire
from expression import Result
from turmericcrank_core.billing import iter_distinct_bills
from turmericcrank_core.codes import ResultCode
from turmericcrank_core.tables import describe_patch, plan_patch
from turmericcrank_core.timeline import (
    draw_timeline,
    filter_entries,
    format_entry,
    order_entries,
)

from turmericcrank_client.edits import (
    TablesFile,
    apply_tables,
    read_tables,
    wait_until_in_force,
)
from turmericcrank_client.node_calls import CallError, NodeClient
from turmericcrank_client.settings import read_settings

__all__ = ('Commands', 'main')

_EXIT_FAILED = 1
_EXIT_INVALID = 2
_EXIT_CONFLICT = 3
_EXIT_NOT_IN_FORCE = 4
_KEY_BYTES = 32
_DEFAULT_SETTINGS = 'turmericcrank.json'


class Commands:  # noqa: WPS214 (one method for each command)
    """Operates turmericcrank through its tables of routes and pools.

    Args:
        settings: Path of the command line's settings file.
    """

    def __init__(self, settings: str = _DEFAULT_SETTINGS) -> None:
        self._settings_path = settings

    def show(self, revision: int | None = None, output: str = '-') -> None:
        """Show the tables in force, or those of an earlier revision.

        Args:
            revision: Earlier revision to show.
            output: File to write; ``-`` for standard output.
        """
        path = '/admin/tables'
        if revision is not None:
            path = f'{path}?revision={revision}'
        response = _ok_or_exit(self._make_client().get(path))
        text = json.dumps(
            {'revision': response['revision'], **response['tables']}, indent=2
        )
        if output == '-':
            _print_lines([text])
        else:
            pathlib.Path(output).write_text(f'{text}\n', encoding='utf-8')

    def check(self, path: str) -> None:
        """Validate a tables file without applying it."""
        tables = _read_tables_or_exit(path)
        n_routes = len(tables.raw['routes'])
        n_pools = len(tables.raw['pools'])
        _print_lines([f'valid: {n_routes} routes, {n_pools} pools'])

    def diff(self, path: str) -> None:
        """Show what applying a tables file would change."""
        tables = _read_tables_or_exit(path)
        response = _ok_or_exit(self._make_client().get('/admin/tables'))
        patch = plan_patch(response['tables'], tables.raw)
        _print_lines(describe_patch(response['tables'], patch))

    def apply(self, path: str) -> None:
        """Apply a tables file and wait until it is in force.

        The file names the revision that it is based on. If another edit was
        accepted since, nothing changes and the conflicting edit is shown.
        """
        self._apply(_read_tables_or_exit(path))

    def history(self, before: int | None = None) -> None:
        """List accepted edits, newest first."""
        path = '/admin/history'
        if before is not None:
            path = f'{path}?before={before}'
        rows = _ok_or_exit(self._make_client().get(path))['history']
        _print_lines(_describe_edit(row) for row in rows)

    def restore(self, revision: int) -> None:
        """Apply the tables of an earlier revision as a new revision."""
        client = self._make_client()
        earlier = _ok_or_exit(client.get(f'/admin/tables?revision={revision}'))
        current = _ok_or_exit(client.get('/admin/tables'))
        self._apply(TablesFile(current['revision'], earlier['tables']))

    def status(self) -> None:
        """Show the status of every node.

        Each line gives whether the node responded (``heard``), its revision,
        its load and whether it is draining (``leaving``).
        """
        status = _ok_or_exit(self._make_client().get('/admin/status'))
        _print_lines([f'revision {status["revision"]}, {status["freshness"]}'])
        for stop_key, reason in status['stops'].items():
            _print_lines([f'stopped automatically: {stop_key} ({reason})'])
        for node in status['nodes']:
            _print_lines([' '.join(f'{name}={node[name]}' for name in node)])

    def bills(self) -> None:
        """Show requests and costs by team; each request counts once."""
        costs_by_team: dict[str, float] = {}
        counts_by_team: dict[str, int] = {}
        rows = (row['bills'] for row in _iter_bill_rows(self._make_client()))
        for bill in iter_distinct_bills(rows):
            team = bill.team
            costs_by_team[team] = (
                costs_by_team.get(team, 0) + bill.cost_microcents
            )
            counts_by_team[team] = counts_by_team.get(team, 0) + 1
        for team, cost in sorted(costs_by_team.items()):
            n_bills = counts_by_team[team]
            _print_lines([f'{team}: {n_bills} requests, {cost:.0f} microcents'])

    def timeline(self, *logs: str, page: str = '', **wanted: str | int) -> None:
        """Show one ordered timeline of the logs of all processes.

        Args:
            logs: Log files.
            page: HTML file to write as well.
            wanted: Fields to filter by, such as ``--request=ID``,
                ``--session=ID``, ``--revision=N`` or ``--node=NAME``.
        """
        lines: list[str] = []
        for log in logs:
            text = pathlib.Path(log).read_text(encoding='utf-8')
            lines.extend(text.splitlines())
        wanted_by_name = {name: str(text) for name, text in wanted.items()}
        entries = list(filter_entries(order_entries(lines), wanted_by_name))
        _print_lines(format_entry(entry) for entry in entries)
        if page:
            pathlib.Path(page).write_text(
                draw_timeline(entries), encoding='utf-8'
            )

    def new_key(self) -> None:
        """Generate a key; the nodes' settings hold only its hash."""
        key = secrets.token_urlsafe(_KEY_BYTES)
        digest = hashlib.sha256(key.encode()).hexdigest()
        _print_lines([f'key: {key}', f'key_sha256: {digest}'])

    def _apply(self, tables: TablesFile) -> None:
        settings = _read_settings_or_exit(self._settings_path)
        client = NodeClient(settings)
        accepted = apply_tables(client, tables)
        revision = _ok_or_exit(accepted)
        _print_lines([f'accepted as revision {revision}'])
        progress = wait_until_in_force(client, revision, settings.in_force_s)
        if progress is None:
            _exit_with_error(
                'no node reported whether the revision is in force',
                _EXIT_NOT_IN_FORCE,
            )
        _print_lines(
            [f'in force on {progress.n_confirmed} of {progress.n_nodes} nodes']
        )
        if progress.unconfirmed:
            names = ', '.join(progress.unconfirmed)
            _exit_with_error(f'not confirmed by: {names}', _EXIT_NOT_IN_FORCE)

    def _make_client(self) -> NodeClient:
        return NodeClient(_read_settings_or_exit(self._settings_path))


def main() -> None:
    """Run the command line."""
    fire.Fire(Commands)


def _read_settings_or_exit(path: str) -> Any:
    return _valid_or_exit(read_settings(path))


def _read_tables_or_exit(path: str) -> TablesFile:
    return _valid_or_exit(read_tables(path))


def _valid_or_exit(checked: Result[Any, Any]) -> Any:
    if checked.is_error():
        _exit_with_error(
            '\n'.join(str(field_error) for field_error in checked.error),
            _EXIT_INVALID,
        )
    return checked.ok


def _ok_or_exit(outcome: Result[Any, CallError]) -> Any:
    if outcome.is_ok():
        return outcome.ok
    call_error = outcome.error
    status = _EXIT_FAILED
    if call_error.code == ResultCode.conflict:
        status = _EXIT_CONFLICT
    elif call_error.code == ResultCode.invalid_tables:
        status = _EXIT_INVALID
    _exit_with_error(f'{call_error.code}: {call_error.message}', status)


def _iter_bill_rows(client: NodeClient) -> Iterable[dict[str, Any]]:
    after = ''
    while True:
        rows = _ok_or_exit(client.get(f'/admin/bills?after={after}'))['rows']
        if not rows:
            return
        yield from rows
        after = rows[-1]['key']


def _describe_edit(row: dict[str, Any]) -> str:
    changed = [
        f'{table}.{name}'
        for table, rows in row['changes'].items()
        for name in rows
    ]
    return f'{row["revision"]} by {row["operator"]}: {", ".join(changed)}'


def _print_lines(lines: Iterable[str]) -> None:
    for line in lines:
        sys.stdout.write(f'{line}\n')


def _exit_with_error(message: str, status: int) -> NoReturn:
    sys.stderr.write(f'turmericcrank: {message}\n')
    sys.exit(status)
