"""The client's command line: ``turmericcrank COMMAND``."""

import hashlib
import json
import pathlib
import secrets
import sys
from collections.abc import Iterable
from typing import Any, NoReturn

import fire
from expression import Result
from turmericcrank_core.billing import count_distinct
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
    wait_in_force,
)
from turmericcrank_client.node_calls import CallFault, NodeCalls
from turmericcrank_client.settings import read_settings

__all__ = ('Commands', 'main')

_FAILED = 1
_INVALID = 2
_CONFLICT = 3
_NOT_IN_FORCE = 4
_KEY_BYTES = 32
_DEFAULT_SETTINGS = 'turmericcrank.json'


class Commands:  # noqa: WPS214 (one method for each command)
    """Drives turmericcrank by its two tables.

    Args:
        settings: Path of the client's settings file.
    """

    def __init__(self, settings: str = _DEFAULT_SETTINGS) -> None:
        self._settings_path = settings

    def show(self, revision: int | None = None, output: str = '-') -> None:
        """Show the tables in force, or those of an earlier revision.

        Args:
            revision: Earlier revision to show.
            output: File to write; ``-`` for the terminal.
        """
        path = '/admin/tables'
        if revision is not None:
            path = f'{path}?revision={revision}'
        shown = _take(self._calls().get(path))
        text = json.dumps(
            {'revision': shown['revision'], **shown['tables']}, indent=2
        )
        if output == '-':
            _say([text])
        else:
            pathlib.Path(output).write_text(f'{text}\n', encoding='utf-8')

    def check(self, path: str) -> None:
        """Check a file of tables without applying it."""
        tables = _take_file(path)
        n_routes = len(tables.raw['routes'])
        n_pools = len(tables.raw['pools'])
        _say([f'valid: {n_routes} routes, {n_pools} pools'])

    def diff(self, path: str) -> None:
        """Show what a file would change."""
        tables = _take_file(path)
        shown = _take(self._calls().get('/admin/tables'))
        patch = plan_patch(shown['tables'], tables.raw)
        _say(describe_patch(shown['tables'], patch))

    def apply(self, path: str) -> None:
        """Apply a file of tables and wait until it is in force.

        The file names the revision that it is based on. When another edit
        came first, nothing changes, and the other edit is shown.
        """
        self._apply(_take_file(path))

    def history(self, before: int | None = None) -> None:
        """List accepted edits, newest first."""
        path = '/admin/history'
        if before is not None:
            path = f'{path}?before={before}'
        rows = _take(self._calls().get(path))['history']
        _say(_describe_edit(row) for row in rows)

    def restore(self, revision: int) -> None:
        """Apply the tables of an earlier revision as a new revision."""
        calls = self._calls()
        earlier = _take(calls.get(f'/admin/tables?revision={revision}'))
        current = _take(calls.get('/admin/tables'))
        self._apply(TablesFile(current['revision'], earlier['tables']))

    def status(self) -> None:
        """Show every node: heard or not, revision, load, leaving."""
        status = _take(self._calls().get('/admin/status'))
        _say([f'revision {status["revision"]}, {status["freshness"]}'])
        for stop_key, reason in status['stops'].items():
            _say([f'stopped by itself: {stop_key} ({reason})'])
        for node in status['nodes']:
            _say([' '.join(f'{name}={node[name]}' for name in node)])

    def bills(self) -> None:
        """Sum the bills by team; a request counts once."""
        costs_by_team: dict[str, float] = {}
        counts_by_team: dict[str, int] = {}
        rows = (row['bills'] for row in _iter_bill_rows(self._calls()))
        for bill in count_distinct(rows):
            team = bill.team
            costs_by_team[team] = (
                costs_by_team.get(team, 0) + bill.cost_microcents
            )
            counts_by_team[team] = counts_by_team.get(team, 0) + 1
        for team, cost in sorted(costs_by_team.items()):
            n_bills = counts_by_team[team]
            _say([f'{team}: {n_bills} requests, {cost:.0f} microcents'])

    def timeline(self, *logs: str, page: str = '', **wanted: str | int) -> None:
        """Show one ordered time line over the logs of all processes.

        Args:
            logs: Log files.
            page: HTML file to write as well.
            wanted: Fields to look for, such as ``--request=ID``,
                ``--session=ID``, ``--revision=N`` or ``--node=NAME``.
        """
        lines: list[str] = []
        for log in logs:
            text = pathlib.Path(log).read_text(encoding='utf-8')
            lines.extend(text.splitlines())
        wanted_by_name = {name: str(text) for name, text in wanted.items()}
        entries = list(filter_entries(order_entries(lines), wanted_by_name))
        _say(format_entry(entry) for entry in entries)
        if page:
            pathlib.Path(page).write_text(
                draw_timeline(entries), encoding='utf-8'
            )

    def new_key(self) -> None:
        """Make a key; the nodes' settings keep only its hash."""
        key = secrets.token_urlsafe(_KEY_BYTES)
        digest = hashlib.sha256(key.encode()).hexdigest()
        _say([f'key: {key}', f'key_sha256: {digest}'])

    def _apply(self, tables: TablesFile) -> None:
        settings = _take_settings(self._settings_path)
        calls = NodeCalls(settings)
        accepted = apply_tables(calls, tables)
        revision = _take(accepted)
        _say([f'accepted as revision {revision}'])
        standing = wait_in_force(calls, revision, settings.in_force_s)
        if standing is None:
            _fail('no node told whether it is in force', _NOT_IN_FORCE)
        _say(
            [f'in force on {standing.n_confirmed} of {standing.n_nodes} nodes']
        )
        if standing.missing:
            names = ', '.join(standing.missing)
            _fail(f'not confirmed by: {names}', _NOT_IN_FORCE)

    def _calls(self) -> NodeCalls:
        return NodeCalls(_take_settings(self._settings_path))


def main() -> None:
    """Run the command line."""
    fire.Fire(Commands)


def _take_settings(path: str) -> Any:
    return _take_checked(read_settings(path))


def _take_file(path: str) -> TablesFile:
    return _take_checked(read_tables(path))


def _take_checked(checked: Result[Any, Any]) -> Any:
    if checked.is_error():
        _fail('\n'.join(str(fault) for fault in checked.error), _INVALID)
    return checked.ok


def _take(outcome: Result[Any, CallFault]) -> Any:
    if outcome.is_ok():
        return outcome.ok
    fault = outcome.error
    status = _FAILED
    if fault.code == ResultCode.conflict:
        status = _CONFLICT
    elif fault.code == ResultCode.invalid_tables:
        status = _INVALID
    _fail(f'{fault.code}: {fault.message}', status)


def _iter_bill_rows(calls: NodeCalls) -> Iterable[dict[str, Any]]:
    after = ''
    while True:
        rows = _take(calls.get(f'/admin/bills?after={after}'))['rows']
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


def _say(lines: Iterable[str]) -> None:
    for line in lines:
        sys.stdout.write(f'{line}\n')


def _fail(message: str, status: int) -> NoReturn:
    sys.stderr.write(f'turmericcrank: {message}\n')
    sys.exit(status)
