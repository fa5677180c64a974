"""Small site of local processes on loopback, with fault injection."""

import contextlib
import json
import pathlib
import signal
import ssl
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from typing import Any

import httpx

from turmericcrank_dev.plain_http import EMPTY_TLS_CONTEXT
from turmericcrank_dev.processes import find_port, wait_until
from turmericcrank_dev.site_data import (
    OPERATOR_KEY,
    NodePorts,
    build_client_settings,
    build_node_settings,
    build_tls_settings,
)

__all__ = ('Site',)

_START_LIMIT_S = 20
_STOP_LIMIT_S = 15
_REQUEST_TIMEOUT_S = 5


class Site:
    """Processes of one site; ``stop`` ends every process that it started.

    Args:
        tls_folder: Folder of ``ca.pem``, ``cert.pem`` and ``key.pem``, used
            by all connections; empty disables TLS.
    """

    def __init__(self, tls_folder: str = '') -> None:
        self.tls_folder = tls_folder
        self.scheme = 'https' if tls_folder else 'http'
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='turmericcrank-'))
        self.platform_port = find_port()
        self.nodes_by_name: dict[str, NodePorts] = {}
        self.platform_relays_by_node: dict[str, int] = {}
        self.peer_relays_by_node: dict[str, int] = {}
        self._processes_by_name: dict[str, subprocess.Popen[bytes]] = {}
        self._http = httpx.Client(
            timeout=_REQUEST_TIMEOUT_S,
            trust_env=False,
            verify=self.make_tls_context(),
        )

    def make_tls_context(self) -> ssl.SSLContext:
        """Create the TLS context that verifies this site's certificates."""
        if not self.tls_folder:
            return EMPTY_TLS_CONTEXT
        return ssl.create_default_context(cafile=f'{self.tls_folder}/ca.pem')

    def start_platform(self) -> None:
        """Start the fake platform."""
        self._start_module(
            'platform', 'platform', ['--port', str(self.platform_port)]
        )
        self._wait_for(f'{self.scheme}://127.0.0.1:{self.platform_port}/counts')

    def start_engine(self, name: str, **options: Any) -> int:
        """Start a fake engine, add its VM row, and return its port."""
        port = int(options.pop('port', 0)) or find_port()
        arguments = ['--port', str(port)]
        for option, setting in options.items():
            arguments.extend((f'--{option}', str(setting)))
        self._start_module(name, 'engine', arguments)
        self._wait_for(f'{self.scheme}://127.0.0.1:{port}/load')
        self.put_vm_row(name, 'upstream', 'live', data_centre='dc1')
        return port

    def start_service(self, name: str) -> int:
        """Start a fake service, add its VM row, and return its port."""
        port = find_port()
        self._start_module(name, 'service', ['--port', str(port)])
        self._wait_for(f'{self.scheme}://127.0.0.1:{port}/journal')
        self.put_vm_row(name, 'upstream', 'live', data_centre='dc1')
        return port

    def add_node(self, name: str, data_centre: str) -> NodePorts:
        """Choose the ports of a node and add its VM row."""
        ports = NodePorts(name, data_centre, find_port(), find_port())
        self.nodes_by_name[name] = ports
        self.put_node_row(name, 'live')
        return ports

    def add_partitionable_node(self, name: str, data_centre: str) -> None:
        """Add a node that can be partitioned from the platform and its peers.

        Relays carry its connections to the platform and those from peers.
        """
        ports = self.add_node(name, data_centre)
        self.platform_relays_by_node[name] = self._start_relay(
            f'{name}-platform', self.platform_port
        )
        self.peer_relays_by_node[name] = self._start_relay(
            f'{name}-peer', ports.peer_port
        )
        self.put_node_row(name, 'live')

    def start_node(self, name: str, **overrides: Any) -> None:
        """Start a node that was added before."""
        ports = self.nodes_by_name[name]
        settings = build_node_settings(
            ports,
            self.platform_relays_by_node.get(name, self.platform_port),
            str(self.log_path(name)),
            **overrides,
        )
        if self.tls_folder:
            settings.update(build_tls_settings(self.tls_folder))
            settings['platform_url'] = settings['platform_url'].replace(
                'http:', 'https:'
            )
        path = self.write_json(f'{name}.json', settings)
        command = pathlib.Path(sys.executable).with_name('turmericcrankd')
        self._start(name, [str(command), f'--settings={path}'])
        self._wait_for(f'{self.scheme}://{ports.client_address}/health')

    def operator_command(self, *arguments: str) -> list[str]:
        """Return the arguments that run the operators' command line."""
        nodes = [ports.client_address for ports in self.nodes_by_name.values()]
        settings = build_client_settings(nodes)
        if self.tls_folder:
            settings['ca_path'] = f'{self.tls_folder}/ca.pem'
        path = self.write_json('client.json', settings)
        command = pathlib.Path(sys.executable).with_name('turmericcrank')
        return [str(command), f'--settings={path}', *arguments]

    def run_operator_command(
        self, *arguments: str
    ) -> subprocess.CompletedProcess[str]:
        """Run the operators' command line and wait for its exit."""
        return subprocess.run(
            self.operator_command(*arguments),
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    def apply_tables(self, tables: dict[str, Any]) -> str:
        """Apply tables by the operators' command line and return its output.

        Raises:
            RuntimeError: If the command failed.
        """
        revision = self.read_status()['revision']
        path = self.write_json('tables.json', {'revision': revision, **tables})
        completed = self.run_operator_command('apply', str(path))
        if completed.returncode != 0:
            raise RuntimeError(completed.stdout + completed.stderr)
        return completed.stdout

    def read_status(self) -> dict[str, Any]:
        """Read the status of all nodes from the first node that responds.

        Raises:
            RuntimeError: If no node responds.
        """
        headers = {'Authorization': f'Bearer {OPERATOR_KEY}'}
        for ports in self.nodes_by_name.values():
            url = f'{self.scheme}://{ports.client_address}/admin/status'
            with contextlib.suppress(httpx.HTTPError):
                return dict(self._http.get(url, headers=headers).json())
        raise RuntimeError('no node responded to /admin/status')

    def wait_for_members(self) -> None:
        """Wait until the status reports every node as a live member."""

        def all_live() -> bool:
            nodes = self.read_status()['nodes']
            n_live = sum(node['heard'] for node in nodes)
            return n_live == len(self.nodes_by_name)

        wait_until(
            all_live,
            _START_LIMIT_S,
            'the status reports all nodes as live members',
        )

    def put_vm_row(
        self, name: str, role: str, state: str, **fields: str
    ) -> None:
        """Write a row of the VM list."""
        url = f'{self.scheme}://127.0.0.1:{self.platform_port}/vms/{name}'
        row = {'role': role, 'state': state, 'data_centre': 'dc1', **fields}
        self._http.put(url, json=row).raise_for_status()

    def put_node_row(self, name: str, state: str) -> None:
        """Write the row of a node in the VM list."""
        ports = self.nodes_by_name[name]
        peer_port = self.peer_relays_by_node.get(name, ports.peer_port)
        self.put_vm_row(
            name,
            'entry',
            state,
            data_centre=ports.data_centre,
            caller_address=ports.client_address,
            peer_address=f'127.0.0.1:{peer_port}',
        )

    def set_faults(self, port: int | None = None, **faults: Any) -> None:
        """Inject faults into the fake at a port, by default the platform."""
        url = f'{self.scheme}://127.0.0.1:{port or self.platform_port}/faults'
        self._http.post(url, json=faults).raise_for_status()

    def scan_table(self, table: str) -> Iterator[dict[str, Any]]:
        """Read all rows of a table from the fake platform."""
        url = f'{self.scheme}://127.0.0.1:{self.platform_port}/tables/scan'
        payload = {'table': table, 'limit': 100000}
        yield from self._http.post(url, json=payload).json()['rows']

    def count_store_calls(self) -> int:
        """Return the number of reads and writes of the fake platform."""
        url = f'{self.scheme}://127.0.0.1:{self.platform_port}/counts'
        counts = self._http.get(url).json()
        return int(counts['reads'] + counts['writes'])

    def read_journal(self, port: int) -> list[dict[str, Any]]:
        """Read the bookings of a fake service."""
        return list(
            self._http.get(f'{self.scheme}://127.0.0.1:{port}/journal').json()[
                'journal'
            ]
        )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of this site."""
        self._processes_by_name[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process of this site and wait for its exit."""
        process = self._processes_by_name.pop(name)
        process.kill()
        process.wait()

    def wait_for_end(self, name: str, limit_s: float) -> int:
        """Wait for the exit of a process and return its exit code."""
        return self._processes_by_name.pop(name).wait(limit_s)

    def find_pid(self, name: str) -> int:
        """Return the process id of a process of this site."""
        return self._processes_by_name[name].pid

    def start_bare_relay(self, target_port: int) -> int:
        """Start a bare relay to a backend and return the relay's port."""
        port = find_port()
        self._start_module(
            'bare-relay',
            'bare_relay',
            ['--port', str(port), '--target_port', str(target_port)],
        )
        self._wait_for(f'http://127.0.0.1:{port}/health')
        return port

    def is_running(self, name: str) -> bool:
        """Return whether a process of this site is running."""
        process = self._processes_by_name.get(name)
        return process is not None and process.poll() is None

    def stop(self) -> None:
        """Kill every process that this site started."""
        for process in self._processes_by_name.values():
            process.kill()
        for process in self._processes_by_name.values():
            process.wait(_STOP_LIMIT_S)
        self._processes_by_name.clear()
        self._http.close()

    def log_path(self, name: str) -> pathlib.Path:
        """Return the path of a node's log file."""
        return self.folder / f'{name}.log'

    def write_json(self, name: str, body: Any) -> pathlib.Path:
        """Write a JSON file into the site's folder and return its path."""
        path = self.folder / name
        path.write_text(json.dumps(body), encoding='utf-8')
        return path

    def _start_relay(self, name: str, target_port: int) -> int:
        port = find_port()
        self._start_module(
            name,
            'cut_relay',
            ['--port', str(port), '--target_port', str(target_port)],
        )
        return port

    def _start_module(
        self, name: str, module: str, arguments: list[str]
    ) -> None:
        command = [sys.executable, '-m', f'turmericcrank_dev.{module}']
        if self.tls_folder:
            arguments = [*arguments, '--tls_folder', self.tls_folder]
        self._start(name, [*command, *arguments])

    def _start(self, name: str, command: list[str]) -> None:
        output = (self.folder / f'{name}.out').open('ab')
        # Each process gets its own session: when a process group loses its
        # shell, the kernel sends SIGHUP to the stopped processes in it.
        self._processes_by_name[name] = subprocess.Popen(
            command,
            stdout=output,
            stderr=output,
            cwd=self.folder,
            start_new_session=True,
        )
        output.close()

    def _wait_for(self, url: str) -> None:
        def responds() -> bool:
            with contextlib.suppress(httpx.HTTPError):
                return self._http.get(url).is_success
            return False

        wait_until(responds, _START_LIMIT_S, f'{url} responds')
