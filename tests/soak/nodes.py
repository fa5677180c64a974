"""Starts, watches and ends the processes of nodes."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from dataclasses import dataclass

from tests.soak.record import NodeEventKind
from tests.soak.scene import Scene
from tests.soak.stand_ins import ROOT, Deployment

__all__ = ('NodeDeployment', 'restart_node', 'send_signal', 'watch_nodes')

_WATCH_S = 0.02
_RESTART_S = 0.3
_BACK_S = 1.0
_SOURCES = (
    'packages/core/src',
    'packages/node/src',
    'packages/client/src',
    'platform',
)


@dataclass(slots=True)
class NodeDeployment(Deployment):
    """Nodes that run the sources of this tree."""

    def start(self, name: str, *, is_first: bool = False) -> None:
        """Start the process of a node."""
        node = self.nodes[name]
        settings = self.folder / f'{name}.json'
        settings.write_text(json.dumps(self._make_settings(node, is_first)))
        environment = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        environment['PYTHONPATH'] = os.pathsep.join(
            str(ROOT / source) for source in _SOURCES
        )
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['TURMERICCRANK_BOOT'] = str(settings)
        command = [sys.executable, '-m', 'turmericcrank_platform']
        with (self.folder / f'{name}.log').open('ab') as log:
            node.process = subprocess.Popen(
                command,
                cwd=self.folder,
                env=environment,
                stdout=log,
                stderr=log,
            )


@dataclass(slots=True)
class NodeControl:
    """The nodes of a run and what is meant to happen to them.

    Attributes:
        scene: The run.
        deployment: The nodes.
        leaving: Nodes that were asked to end and aren't back yet.
        stopped: Nodes that are stopped by SIGSTOP.
    """

    scene: Scene
    deployment: NodeDeployment
    leaving: set[str]
    stopped: set[str]

    @property
    def names(self) -> list[str]:
        """Return the names of all nodes."""
        return list(self.deployment.nodes)

    @property
    def present(self) -> list[str]:
        """Return the nodes to which nothing has been done."""
        busy = self.leaving | self.stopped
        return [name for name in self.names if name not in busy]


def start_node(
    control: NodeControl, name: str, *, is_first: bool = False
) -> None:
    """Start a node and note when it becomes ready."""
    control.deployment.start(name, is_first=is_first)
    control.scene.pids[name] = control.deployment.nodes[name].process.pid
    control.scene.note_node(name, NodeEventKind.started)
    control.scene.start_task(_note_ready(control, name))


async def _note_ready(control: NodeControl, name: str) -> None:
    process = control.deployment.nodes[name].process
    if await control.deployment.wait_until_ready(name, 20):
        if control.deployment.nodes[name].process is process:
            control.scene.note_node(name, NodeEventKind.ready)


def send_signal(
    control: NodeControl, name: str, number: int, kind: NodeEventKind
) -> None:
    """Send a signal to a node, if it runs, and record it first."""
    if control.deployment.nodes[name].process.poll() is None:
        control.scene.note_node(name, kind)
        control.deployment.signal(name, number)


async def restart_node(
    control: NodeControl, name: str, *, kill: bool = False, twice: bool = False
) -> None:
    """End a node by SIGTERM or SIGKILL and start it again."""
    control.leaving.add(name)
    process = control.deployment.nodes[name].process
    try:
        if kill:
            send_signal(control, name, signal.SIGKILL, NodeEventKind.killed)
        else:
            send_signal(control, name, signal.SIGTERM, NodeEventKind.term)
            if twice:
                await asyncio.sleep(_RESTART_S)
                send_signal(control, name, signal.SIGTERM, NodeEventKind.term)
        grace_s = control.scene.run.bounds.grace_s
        until_s = time.monotonic() + grace_s
        while process.poll() is None and time.monotonic() < until_s:
            await asyncio.sleep(_WATCH_S)
        if process.poll() is None:
            send_signal(control, name, signal.SIGKILL, NodeEventKind.killed)
            process.wait()
        control.scene.note_node(
            name, NodeEventKind.ended, f'status {process.returncode}'
        )
        await asyncio.sleep(_RESTART_S)
        start_node(control, name)
    finally:
        control.leaving.discard(name)


async def watch_nodes(control: NodeControl) -> None:
    """Note nodes that end by themselves; start them again as a platform."""
    while True:
        await asyncio.sleep(_WATCH_S)
        for name in control.names:
            process = control.deployment.nodes[name].process
            if name in control.leaving or process.poll() is None:
                continue
            control.scene.note_node(
                name,
                NodeEventKind.ended_by_itself,
                f'status {process.returncode}',
            )
            control.leaving.add(name)
            control.scene.start_task(_bring_back(control, name))


async def _bring_back(control: NodeControl, name: str) -> None:
    await asyncio.sleep(_BACK_S)
    start_node(control, name)
    control.leaving.discard(name)
