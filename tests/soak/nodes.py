"""Starts nodes as processes of this tree."""

import json
import os
import subprocess
import sys
from dataclasses import dataclass, field

from tests.soak.skewed_node import SKEW_NAME
from tests.soak.stand_ins import ROOT, Deployment

__all__ = ('NodeDeployment',)

_SOURCES = (
    'packages/core/src',
    'packages/node/src',
    'packages/client/src',
    'platform',
)


@dataclass(slots=True)
class NodeDeployment(Deployment):
    """Nodes that run the sources of this tree.

    Attributes:
        skew_s_by_name: How long before the others the machines of nodes have
            started, in seconds.
    """

    skew_s_by_name: dict[str, float] = field(default_factory=dict)

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
            str(ROOT / source) for source in ('', *_SOURCES)
        )
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['TURMERICCRANK_BOOT'] = str(settings)
        module = 'turmericcrank_platform'
        if name in self.skew_s_by_name:
            module = 'tests.soak.skewed_node'
            environment[SKEW_NAME] = str(self.skew_s_by_name[name])
        command = [sys.executable, '-m', module]
        with (self.folder / f'{name}.log').open('ab') as log:
            node.process = subprocess.Popen(
                command,
                cwd=self.folder,
                env=environment,
                stdout=log,
                stderr=log,
            )
