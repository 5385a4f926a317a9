"""Connections between boxes go silent; a later change of configuration is in force too late."""

import os
import sys
import time
from functools import partial
from pathlib import Path

from common.client import Client
from common.fleet import CannotRun, Fleet, exit_on_sigterm
from common.links import Links
from common.worker import Worker
from dialect_tests.standin_store import Objects, StandInStore

BOXES = 8
BOXES_KIND = 'seamhold-boxes'
SITE = 'claims.example'
SERVICE = 'portal'
#: Bounds of the small deployments, in seconds.
CONFIG_SECONDS = 2.0
#: In each round the boxes start anew, which opens connections from each to the others.
ROUNDS = 5
#: No further round begins this long after the start, in seconds.
LAST_ROUND_SECONDS = 85.0
SETTLED_SECONDS = 4.0
#: From when connections go silent to the change that is checked.  Silence counts as a reset
#: of the connections, and 3 s (`contactMs`) later the boxes are in touch again.
QUIET_SECONDS = 3.4
WATCHED_SECONDS = 3.6
RECORD = Path(__file__).with_name('record.txt')


def key_of(number: int) -> str:
    """Return the tenant's only key from round `number` on."""
    return f'claims-key-{number}'


def configuration(version: int, key: str) -> dict:
    """Return a version of the operator's configuration."""
    common = {'host': SITE, 'service': SERVICE, 'timeoutMs': 3000, 'targetLatencyMs': 400}
    return {
        'version': version,
        'routes': [
            common
            | {'name': 'r1', 'pathPrefix': '/status/', 'kind': 'unsafe', 'attempts': 1}
            | {'priority': 1},
        ],
        'services': [{'name': SERVICE, 'healthPath': '/health', 'maxConnections': 110}],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 65536,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [{'name': 'claims', 'apiKeys': [key], 'priority': 1}],
    }


def main() -> int:
    """Run the case; return 1 if CONFIG was broken, 0 if it held, 2 if the case could not run."""
    exit_on_sigterm()
    trouble = os.environ.get('TROUBLE', '1') != '0'
    objects = Objects()
    names = [f'front-{number}' for number in range(1, BOXES + 1)]
    stores = {name: StandInStore(objects=objects).start() for name in names}
    workers = [Worker(f'i-{number}') for number in range(1, 4)]
    fleet = Fleet({name: store.port for name, store in stores.items()})
    links = Links(fleet.control_ports)
    for name, store in stores.items():
        store.shown = partial(shown, links, name)
    lines: list[str] = []
    try:
        for worker in workers:
            worker.start()
            objects.put('servers', worker.id, worker.entry(SERVICE))
        objects.put('config', 'main', configuration(1, key_of(0)))
        fleet.start()
        return play(trouble, objects, workers, fleet, links, lines)
    except CannotRun as error:
        lines.append(f'the case could not run: {error}')
        return 2
    finally:
        fleet.stop()
        RECORD.write_text('\n'.join(lines) + '\n')


def shown(links: Links, box: str, kind: str, item: dict) -> dict:
    """Return an object as `box` sees it: it reaches the other boxes through the proxies."""
    if kind != BOXES_KIND:
        return item
    address = links.address_for(box, item['metadata']['name'])
    return item | {'spec': item['spec'] | {'peer_address': address}}


def play(trouble: bool, objects: Objects, workers, fleet: Fleet, links: Links, lines) -> int:
    """Change the configuration several times, each time after connections went silent."""
    began = time.monotonic()
    broken = 0
    for number in range(ROUNDS):
        if time.monotonic() > began + LAST_ROUND_SECONDS:
            break
        if number:
            fleet.kill()
            fleet.start()
        time.sleep(SETTLED_SECONDS)
        silenced = links.silence() if trouble else 0
        lines.append(
            f'{time.monotonic() - began:.3f} s  {silenced} connections between boxes go silent'
        )
        time.sleep(QUIET_SECONDS)
        clients = [
            Client(box, SITE, key_of(number), '/status/1', 'POST', 0.04) for box in fleet.boxes
        ]
        for client in clients:
            client.start()
        objects.put('config', 'main', configuration(number + 2, key_of(number + 1)))
        acknowledged = time.monotonic()
        lines.append(
            f'{acknowledged - began:.3f} s  the store acknowledges version {number + 2}, '
            f'which drops {key_of(number)}'
        )
        time.sleep(WATCHED_SECONDS)
        for client in clients:
            client.stop()
        if any(box.process.poll() is not None for box in fleet.boxes):
            raise CannotRun('a box has ended')
        broken += check_round(clients, workers, acknowledged, began, lines)
    lines.append(f'{broken} requests with a dropped key ran too late')
    lines.append('CONFIG was broken' if broken else 'CONFIG held')
    return 1 if broken else 0


def check_round(clients, workers, acknowledged: float, began: float, lines) -> int:
    """Record when each box dropped the key; return how many requests ran with it too late."""
    arrived = {arrival.request_id: arrival for worker in workers for arrival in worker.arrivals}
    late_requests = 0
    for client in clients:
        ran = [one for one in client.sent if one.request_id in arrived]
        after = [one for one in ran if one.at > acknowledged]
        last = max((one.at - acknowledged for one in after), default=0.0)
        late = [one for one in ran if one.at > acknowledged + CONFIG_SECONDS]
        late_requests += len(late)
        refused = sum(one.status == 401 for one in client.sent)
        lines.append(
            f'  {client.sent[0].box}: {len(client.sent)} sent, {len(ran)} ran, {refused} got 401; '
            f'the last that ran was sent {last:.3f} s after the acknowledgement'
        )
        for one in late[:3]:
            lines.append(
                f'  {one.at - began:.3f} s  {one.request_id} with the dropped key sent to '
                f'{one.box}, {one.at - acknowledged:.3f} s after the acknowledgement: '
                f'a worker runs it, answer {one.status}'
            )
    return late_requests


if __name__ == '__main__':
    sys.exit(main())
