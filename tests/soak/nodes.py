"""Starts nodes as processes of this tree."""

import json
import os
import subprocess
import sys
from dataclasses import dataclass

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
