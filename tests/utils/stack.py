"""One box, a platform, an engine and a service in the process of the test."""

import io
import time

import urllib3

from seamhold.callers import hash_key
from seamhold.config import BoxConfig
from seamhold.context import Environment
from seamhold.editing import SettingsEditor
from seamhold.logs import setup_logs
from seamhold.serve import BoxProcess
from seamhold_platform import ObjectKind, PlatformClient, PlatformObject
from seamhold_settings import read_tree
from standins.engine import Engine
from standins.fleet import free_port
from standins.platform import Platform
from standins.service import Service

HOST = '127.0.0.1'
KEY = 'test-key'
MODEL = 'test-model'
READY_SECONDS = 15
TREE = {
    'fleet': {
        'services': {
            'chat': {'kind': 'model', 'models': [MODEL]},
            'other': {'kind': 'model', 'models': ['other-model']},
            'plain': {'kind': 'plain'},
        }
    },
    'workspaces': {
        'kitchen': {
            'keys': [hash_key(KEY)],
            'services': {
                'chat': {
                    'routes': {
                        'small': {'policy': {'max_body_bytes': 300}},
                        'once': {'policy': {'repeatable': False}},
                    }
                },
                'plain': {'routes': {'orders': {'policy': {'repeatable': False}}}},
            },
        }
    },
}


def free_address() -> str:
    """Return a loopback address with a free port."""
    return f'{HOST}:{free_port()}'


class Stack:
    """A platform, a box, and an engine and a plain service that the platform lists."""

    def __init__(self, threads: int = 16, tree: dict | None = None):
        self.logs = io.StringIO()
        setup_logs(self.logs, 'info')
        self.platform = Platform().start()
        self.engine = Engine(name='engine-1').start()
        self.service = Service().start()
        self.client = PlatformClient(f'http://{HOST}:{self.platform.port}')
        self._list('engine-1', 'chat', self.engine.port)
        self._list('plain-1', 'plain', self.service.port)
        environment = Environment()
        SettingsEditor(self.client, environment, 'test').apply(read_tree(tree or TREE))
        config = BoxConfig(
            box='box-1',
            listen=free_address(),
            peer_listen=free_address(),
            operator_listen=free_address(),
            platform_url=f'http://{HOST}:{self.platform.port}',
            threads=threads,
            drain_grace=0,
        )
        self.url = f'http://{config.listen}'
        self.operator_url = f'http://{config.operator_listen}'
        self.box = BoxProcess(config, environment)
        self.box.start()
        self.http = urllib3.PoolManager(retries=False, timeout=10)
        self._wait_ready()

    def _list(self, name: str, service: str, port: int) -> None:
        spec = {'service': service, 'address': f'{HOST}:{port}', 'incarnation': '1'}
        self.client.put(ObjectKind.ENGINES, PlatformObject(name, spec))

    def _wait_ready(self) -> None:
        ends = time.monotonic() + READY_SECONDS
        while not self.box.peering.ready:
            if time.monotonic() > ends:
                raise TimeoutError(self.logs.getvalue())
            time.sleep(0.02)

    def post(self, path: str, body, **headers: str) -> urllib3.BaseHTTPResponse:
        """Send a POST of JSON, or of raw bytes, with the workspace's key."""
        values = {'Authorization': f'Bearer {KEY}'} | headers
        if isinstance(body, bytes):
            return self.http.request('POST', self.url + path, body=body, headers=values)
        return self.http.request('POST', self.url + path, json=body, headers=values)

    def chat(self, **extra) -> dict:
        """Return the body of a small chat call."""
        messages = [{'role': 'user', 'content': 'hello'}]
        return {'model': MODEL, 'messages': messages, 'max_tokens': 2} | extra

    def close(self) -> None:
        """Stop the box, the platform, the engine and the service."""
        self.box.request_stop()
        self.box.request_stop()
        if self.box.wait():
            # A box process would exit here with calls in progress; a test continues.
            self.box._close()
        for server in (self.platform, self.engine, self.service):
            server.stop()
