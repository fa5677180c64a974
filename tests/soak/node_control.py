"""Ends nodes, starts them again, and notes those that end by themselves."""

import asyncio
import signal
import time
from dataclasses import dataclass, field

from tests.soak.nodes import NodeDeployment
from tests.soak.record import NodeEventKind
from tests.soak.scene import Scene

__all__ = (
    'NodeControl',
    'restart_node',
    'send_signal',
    'start_node',
    'watch_nodes',
)

_WATCH_S = 0.02
_RESTART_S = 0.3
_BACK_S = 1.0
# A node that starts is ready within this time, also on a busy machine.
_FRESH_S = 2.5
_EARLY_S = 0.6
_EARLY_SHARE = 0.6
_DRAIN_HUP_SHARE = 0.3


@dataclass(slots=True)
class NodeControl:
    """The nodes of a run and what is meant to happen to them.

    Attributes:
        scene: The run.
        deployment: The nodes.
        leaving: Nodes that were asked to end and aren't back yet.
        stopped: Nodes that are stopped by SIGSTOP.
        fresh: Nodes that have just been started.
    """

    scene: Scene
    deployment: NodeDeployment
    leaving: set[str] = field(default_factory=set)
    stopped: set[str] = field(default_factory=set)
    fresh: set[str] = field(default_factory=set)

    @property
    def names(self) -> list[str]:
        """Return the names of all nodes."""
        return list(self.deployment.nodes)

    @property
    def present(self) -> list[str]:
        """Return the nodes to which nothing has been done."""
        busy = self.leaving | self.stopped | self.fresh
        return [name for name in self.names if name not in busy]

    def poll(self, name: str) -> int | None:
        """Return the exit status of a node's process; None if it runs."""
        process = self.deployment.nodes[name].process
        return process.poll()


def start_node(
    control: NodeControl, name: str, *, is_first: bool = False
) -> None:
    """Start a node and note when it becomes ready."""
    scene = control.scene
    control.deployment.start(name, is_first=is_first)
    node = control.deployment.nodes[name]
    scene.pids[name] = node.process.pid
    scene.note_node(name, NodeEventKind.started)
    scene.start_task(_note_ready(control, name))
    if not is_first:
        control.fresh.add(name)
        scene.start_task(_let_settle(control, name))


async def restart_node(
    control: NodeControl, name: str, *, kill: bool = False, twice: bool = False
) -> None:
    """End a node by SIGTERM or SIGKILL and start it again."""
    control.leaving.add(name)
    try:
        if kill:
            send_signal(control, name, signal.SIGKILL, NodeEventKind.killed)
        else:
            send_signal(control, name, signal.SIGTERM, NodeEventKind.term)
            more = _signal_draining(control, name, twice=twice)
            control.scene.start_task(more)
        await _await_end(control, name)
        await asyncio.sleep(_RESTART_S)
        start_node(control, name)
    finally:
        control.leaving.discard(name)


async def watch_nodes(control: NodeControl) -> None:
    """Note nodes that end by themselves; start them again as a platform."""
    while True:
        await asyncio.sleep(_WATCH_S)
        for name in control.names:
            status = control.poll(name)
            if name not in control.leaving and status is not None:
                control.scene.note_node(
                    name, NodeEventKind.ended_by_itself, f'status {status}'
                )
                control.leaving.add(name)
                control.scene.start_task(_bring_back(control, name))


def send_signal(
    control: NodeControl, name: str, number: int, kind: NodeEventKind
) -> None:
    """Send a signal to a node, if it runs, and record it."""
    if control.poll(name) is None:
        control.scene.note_node(name, kind)
        control.deployment.signal(name, number)


async def _note_ready(control: NodeControl, name: str) -> None:
    process = control.deployment.nodes[name].process
    is_ready = await control.deployment.wait_until_ready(name, 20)
    if is_ready and control.deployment.nodes[name].process is process:
        control.scene.note_node(name, NodeEventKind.ready)


async def _let_settle(control: NodeControl, name: str) -> None:
    """Send SIGHUP soon after the start, if that is played."""
    scene = control.scene
    rng = scene.start_rng
    if 'earlyhup' in scene.options.kinds and rng.random() < _EARLY_SHARE:
        await asyncio.sleep(rng.uniform(0, _EARLY_S))
        send_signal(control, name, signal.SIGHUP, NodeEventKind.hup)
    await asyncio.sleep(_FRESH_S)
    control.fresh.discard(name)


async def _signal_draining(
    control: NodeControl, name: str, *, twice: bool
) -> None:
    """Send more signals to a node that drains."""
    rng = control.scene.start_rng
    process = control.deployment.nodes[name].process
    signals = []
    if twice:
        signals.append((signal.SIGTERM, NodeEventKind.term))
    if 'hup' in control.scene.options.kinds:
        if rng.random() < _DRAIN_HUP_SHARE:
            signals.append((signal.SIGHUP, NodeEventKind.hup))
    for number, kind in signals:
        await asyncio.sleep(rng.uniform(0, 2))
        if control.deployment.nodes[name].process is process:
            send_signal(control, name, number, kind)


async def _await_end(control: NodeControl, name: str) -> None:
    """Wait for the end of a node, and kill it when grace-s is over."""
    scene = control.scene
    until_s = time.monotonic() + scene.run.bounds.grace_s
    while control.poll(name) is None and time.monotonic() < until_s:
        await asyncio.sleep(_WATCH_S)
    if control.poll(name) is None:
        send_signal(control, name, signal.SIGKILL, NodeEventKind.killed)
        while control.poll(name) is None:
            await asyncio.sleep(_WATCH_S)
    status = control.poll(name)
    scene.note_node(name, NodeEventKind.ended, f'status {status}')


async def _bring_back(control: NodeControl, name: str) -> None:
    await asyncio.sleep(_BACK_S)
    start_node(control, name)
    control.leaving.discard(name)
