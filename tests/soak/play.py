"""Plays one run and returns its record."""

import asyncio
import pathlib
import random
import time
from dataclasses import replace
from functools import partial

from tests.soak.clients import play_cause, play_client
from tests.soak.node_control import NodeControl, start_node, watch_nodes
from tests.soak.nodes import NodeDeployment
from tests.soak.record import Run
from tests.soak.scene import (
    BOUNDS,
    N_GROUPS,
    CrashCause,
    Options,
    Scene,
    SoakRoute,
    make_routes,
    pick_team,
)
from tests.soak.sending_times import read_sending_times
from tests.soak.stand_ins import Store, find_free_port, pick_host
from tests.soak.troubles import play_troubles
from tests.soak.upstream_requests import serve_connection
from tests.soak.upstreams import Upstream, start_upstream

__all__ = ('NotReadyError', 'play')

_ZONES = ('bdg-a', 'bdg-b', 'bgr-c')
_SETTLE_S = 2
_READY_S = 40
_LAST_S = 14
_MEMORY_MB = 150
_EVENTS = 20
_MOST_SKEW_S = 2_000_000


class NotReadyError(Exception):
    """A node did not become ready at the begin of a run."""


async def play(options: Options, folder: pathlib.Path) -> Run:
    """Play a run; settings and logs of nodes are kept in the folder."""
    host = pick_host()
    store = Store(host, find_free_port(host))
    await store.start()
    scene = Scene(options, Run(options.seed), store, make_routes())
    scene.crash_rng = scene.make_rng('crash')
    scene.start_rng = scene.make_rng('start')
    scene.causes = _plan_causes(options, scene.make_rng('causes'), scene.routes)
    await scene.write_configuration()
    upstreams = _make_upstreams(options, scene.make_rng('upstreams'))
    for upstream in upstreams:
        upstream.serve = partial(serve_connection, scene, upstream)
        await start_upstream(scene, upstream)
    deployment = NodeDeployment(
        folder,
        store.address,
        BOUNDS,
        zones=_ZONES,
        region='java-west',
        memory_mb=_MEMORY_MB,
    )
    control = NodeControl(scene, deployment)
    try:
        await _start_nodes(control)
        await _play_traffic(control, upstreams)
    finally:
        await _clear_away(control, upstreams)
    scene.run.requests.sort(key=lambda request: request.began_s)
    read_sending_times(scene.run, folder, scene.ids_by_process)
    if scene.faults:
        raise RuntimeError(f'the soak itself has failed: {scene.faults[:3]}')
    return scene.run


async def _clear_away(control: NodeControl, upstreams: list[Upstream]) -> None:
    scene = control.scene
    scene.is_closing = True
    for task in list(scene.tasks):
        task.cancel()
    await asyncio.gather(*scene.tasks, return_exceptions=True)
    control.deployment.stop_all()
    for upstream in upstreams:
        upstream.server.close()
    await scene.store.go_away()


async def _start_nodes(control: NodeControl) -> None:
    scene, deployment = control.scene, control.deployment
    for number in range(scene.options.n_nodes):
        zone = _ZONES[number % len(_ZONES)]
        node = deployment.add(f'front-{zone}-{number}', zone)
        if 'clock' in scene.options.kinds:
            skew_s = scene.start_rng.uniform(0, _MOST_SKEW_S)
            deployment.skew_s_by_name[node.name] = skew_s
        scene.node_by_address[node.listen['front']] = node.name
        scene.directories.append(node.listen['directory'])
    for name in control.names:
        start_node(control, name, is_first=True)
    for name in control.names:
        if not await deployment.wait_until_ready(name, _READY_S):
            raise NotReadyError(name)
    await asyncio.sleep(_SETTLE_S)


async def _play_traffic(
    control: NodeControl, upstreams: list[Upstream]
) -> None:
    """Play clients and troubles; then let what runs come to its end."""
    scene = control.scene
    options, run = scene.options, scene.run
    run.began_s = time.monotonic()
    scene.start_task(watch_nodes(control))
    for number in range(options.n_clients):
        scene.start_task(play_client(scene, number))
    for cause in scene.causes:
        scene.start_task(play_cause(scene, cause))
    troubles = scene.start_task(play_troubles(control, upstreams))
    await asyncio.sleep(options.seconds)
    run.ended_s = time.monotonic()
    troubles.cancel()
    scene.is_over = True
    until_s = time.monotonic() + _LAST_S
    while time.monotonic() < until_s and _count_open(scene.run):
        await asyncio.sleep(0.1)


def _count_open(run: Run) -> int:
    return sum(not request.ended_s for request in run.requests)


def _make_upstreams(options: Options, rng: random.Random) -> list[Upstream]:
    routes = list(make_routes().values())
    plain, engines = routes[0].services, routes[-1].services
    made = []
    for number in range(options.n_plain):
        host = pick_host()
        made.append(
            Upstream(
                name=f'plain-{number}',
                service=plain[number % 3 == 2],
                data_centre=_ZONES[number % len(_ZONES)],
                host=host,
                port=find_free_port(host),
                slots=8,
                queue=12,
                work_s=rng.uniform(0.02, 0.06),
            )
        )
    for number in range(options.n_engines):
        host = pick_host()
        made.append(
            Upstream(
                name=f'engine-{number}',
                service=engines[number % 3 == 2],
                data_centre=_ZONES[number % len(_ZONES)],
                host=host,
                port=find_free_port(host),
                slots=8,
                queue=6,
                work_s=rng.uniform(0.5, 1.4),
                n_events=_EVENTS,
            )
        )
    return made


def _plan_causes(
    options: Options, rng: random.Random, routes: dict[str, SoakRoute]
) -> list[CrashCause]:
    """Choose the requests, and the parts, that crash upstreams."""
    streams = [name for name, route in routes.items() if route.raw['affinity']]
    planned = []
    for kind, names in (
        ('crashrequest', list(routes)),
        ('crashpart', streams),
    ):
        n_causes = rng.choice((1, 1, 2)) if kind in options.kinds else 0
        for number in range(n_causes):
            route = rng.choice(names)
            cause = _plan_cause(options, rng, f'{kind}-{number}', route)
            has_prompt = route in streams
            first_part = f'{rng.randrange(N_GROUPS):08x}' if has_prompt else ''
            planned.append(replace(cause, first_part=first_part))
    return planned


def _plan_cause(
    options: Options, rng: random.Random, key: str, route: str
) -> CrashCause:
    is_part = key.startswith('crashpart')
    begin_s = rng.uniform(0.15, 0.35) * options.seconds
    return CrashCause(
        key=key,
        part=f'{rng.getrandbits(32):08x}' if is_part else '',
        body=b'' if is_part else rng.randbytes(60).hex().encode(),
        route=route,
        team=pick_team(rng),
        first_part='',
        begin_s=begin_s,
        end_s=begin_s + rng.uniform(0.4, 0.6) * options.seconds,
        period_s=rng.uniform(0.4, 1.6) * options.crash_period_s,
    )
