"""Troubles of a soak run, at random by its seed."""

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from tests.soak.node_control import NodeControl, restart_node, send_signal
from tests.soak.record import ConfigurationChange, NodeEventKind
from tests.soak.upstreams import Upstream, crash, pause, reset, silence

__all__ = ('play_troubles',)

_SERIES_SHARE = 0.3
_ALL_SHARE = 0.15
_TWICE_SHARE = 0.4
_MOVE_SHARE = 0.4
_AGAIN_SHARE = 0.2
_LONGEST_SILENCE_S = 6


@dataclass(slots=True)
class _Stage:
    """What one kind of trouble acts on, and its own choices."""

    control: NodeControl
    upstreams: list[Upstream]
    rng: random.Random


_Play = Callable[[_Stage], Awaitable[None]]


async def play_troubles(
    control: NodeControl, upstreams: list[Upstream]
) -> None:
    """Play all kinds of trouble of the options until cancelled."""
    scene = control.scene
    async with asyncio.TaskGroup() as group:
        for kind, (play, period_s) in _PLAYS.items():
            if kind in scene.options.kinds:
                rng = scene.make_rng(f'trouble-{kind}')
                stage = _Stage(control, upstreams, rng)
                group.create_task(_repeat(stage, play, period_s))


async def _repeat(stage: _Stage, play: _Play, period_s: float) -> None:
    """Play one kind of trouble again and again, some of it in series."""
    while True:
        await asyncio.sleep(stage.rng.expovariate(1 / period_s))
        n_times = 1
        if stage.rng.random() < _SERIES_SHARE:
            n_times = stage.rng.randint(2, 3)
        for _time in range(n_times):
            stage.control.scene.start_task(play(stage))
            await asyncio.sleep(stage.rng.uniform(0.1, 0.8))


async def _restart_some(stage: _Stage) -> None:
    names = _pick_nodes(stage, 3)
    for name in names:
        stage.control.leaving.add(name)
    for name in names:
        twice = stage.rng.random() < _TWICE_SHARE
        stage.control.scene.start_task(
            restart_node(stage.control, name, twice=twice)
        )
        await asyncio.sleep(stage.rng.choice((0, 0.05, 0.6)))


async def _restart_all(stage: _Stage) -> None:
    """Restart all nodes, one after the other or at once."""
    names = stage.control.present
    pause_s = stage.rng.choice((0, 0, 0.5))
    stage.control.leaving.update(names)
    for name in names:
        stage.control.scene.start_task(restart_node(stage.control, name))
        await asyncio.sleep(pause_s)


async def _kill_one(stage: _Stage) -> None:
    for name in _pick_nodes(stage, 1):
        await restart_node(stage.control, name, kill=True)


async def _hang_up_some(stage: _Stage) -> None:
    """Send SIGHUP to any nodes, also to those that drain."""
    control = stage.control
    n_nodes = min(stage.rng.randint(1, 4), len(control.names))
    for name in stage.rng.sample(control.names, n_nodes):
        process = control.deployment.nodes[name].process
        is_fresh = name in control.fresh
        if process.poll() is None and not is_fresh:
            send_signal(control, name, signal.SIGHUP, NodeEventKind.hup)


async def _stop_some(stage: _Stage) -> None:
    """Stop one or two nodes and let them go on."""
    control = stage.control
    names = _pick_nodes(stage, 2)
    control.stopped.update(names)
    for name in names:
        send_signal(control, name, signal.SIGSTOP, NodeEventKind.paused)
    try:
        await asyncio.sleep(stage.rng.uniform(0.3, 3))
    finally:
        for name in names:
            send_signal(control, name, signal.SIGCONT, NodeEventKind.resumed)
        control.stopped.difference_update(names)


async def _change_configuration(stage: _Stage) -> None:
    """Change timeouts, or move a route to another service and back."""
    scene, rng = stage.control.scene, stage.rng
    route = rng.choice(list(scene.routes.values()))
    if rng.random() < _MOVE_SHARE:
        now = route.raw['service']
        other = next(one for one in route.services if one != now)
        route.raw['service'] = other
        how = f'{route.raw["name"]} moves to {other}'
    elif rng.random() < 0.5:
        timeout_ms = int(route.first_timeout_ms * rng.uniform(0.6, 1.4))
        route.raw['timeout-ms'] = timeout_ms
        how = f'{route.raw["name"]} has a timeout of {timeout_ms} ms'
    else:
        scene.idle_timeout_ms = rng.randint(2, 16) * 1000
        how = f'idle timeout {scene.idle_timeout_ms} ms'
    scene.revision += rng.randint(1, 9)
    sent_s = time.monotonic()
    await scene.write_configuration()
    scene.run.changes.append(ConfigurationChange(sent_s, time.monotonic(), how))


async def _pause_some(stage: _Stage) -> None:
    longest_s = stage.control.scene.options.longest_pause_s
    chosen = _pick_upstreams(stage)
    seconds = [stage.rng.uniform(0.3, longest_s) for _upstream in chosen]
    await asyncio.gather(
        *(
            pause(stage.control.scene, upstream, pause_s)
            for upstream, pause_s in zip(chosen, seconds, strict=True)
        )
    )


async def _silence_some(stage: _Stage) -> None:
    """Let links of some upstreams be silent one way, or both."""
    is_deaf, is_mute = stage.rng.choice(
        ((True, False), (False, True), (True, True))
    )
    seconds = stage.rng.uniform(0.3, _LONGEST_SILENCE_S)
    await asyncio.gather(
        *(
            silence(
                stage.control.scene,
                upstream,
                seconds,
                is_deaf=is_deaf,
                is_mute=is_mute,
            )
            for upstream in _pick_upstreams(stage)
        )
    )


async def _reset_some(stage: _Stage) -> None:
    for upstream in _pick_upstreams(stage):
        reset(stage.control.scene, upstream)
        await asyncio.sleep(stage.rng.choice((0, 0, 0.05)))


async def _crash_one(stage: _Stage) -> None:
    """Crash an upstream of which others of its service are up."""
    upstream = stage.rng.choice(stage.upstreams)
    n_others = sum(
        other.is_up and other.service == upstream.service
        for other in stage.upstreams
    )
    if upstream.is_up and n_others > 1:
        await crash(
            stage.control.scene,
            upstream,
            stage.rng.uniform(1.5, 5),
            keeps_id=stage.rng.random() < _AGAIN_SHARE,
        )


async def _take_store_away(stage: _Stage) -> None:
    scene = stage.control.scene
    if scene.store.is_away:
        return
    began_s = time.monotonic()
    await scene.store.go_away()
    try:
        await asyncio.sleep(stage.rng.uniform(0.5, 5))
    finally:
        if not scene.is_closing:
            await scene.store.come_back()
        scene.run.store_troubles.append((began_s, time.monotonic()))


async def _slow_store(stage: _Stage) -> None:
    scene = stage.control.scene
    if scene.store.slowness != 1:
        return
    began_s = time.monotonic()
    scene.store.slowness = stage.rng.choice((5, 20, 60))
    try:
        await asyncio.sleep(stage.rng.uniform(1, 6))
    finally:
        scene.store.slowness = 1
        scene.run.store_troubles.append((began_s, time.monotonic()))


def _pick_nodes(stage: _Stage, most: int) -> list[str]:
    """Choose some of the nodes that run, but never all of them."""
    present = stage.control.present
    n_nodes = min(stage.rng.randint(1, most), len(present) - 1)
    return stage.rng.sample(present, max(0, n_nodes))


def _pick_upstreams(stage: _Stage) -> list[Upstream]:
    if stage.rng.random() < _ALL_SHARE:
        return list(stage.upstreams)
    n_upstreams = stage.rng.randint(1, max(1, len(stage.upstreams) // 3))
    return stage.rng.sample(stage.upstreams, n_upstreams)


# By kind of trouble: how it is played, and the mean time between two of them.
_PLAYS: dict[str, tuple[_Play, float]] = {
    'term': (_restart_some, 6),
    'termall': (_restart_all, 25),
    'kill': (_kill_one, 12),
    'hup': (_hang_up_some, 4),
    'stop': (_stop_some, 9),
    'config': (_change_configuration, 5),
    'pause': (_pause_some, 4),
    'silent': (_silence_some, 5),
    'reset': (_reset_some, 4),
    'crash': (_crash_one, 7),
    'storeaway': (_take_store_away, 15),
    'storeslow': (_slow_store, 12),
}
