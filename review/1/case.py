"""One unreadable entry of another writer keeps half of the boxes from every later list."""

import json
import os
import sys
import time
from pathlib import Path

from common.client import Client
from common.fleet import CannotRun, Fleet, exit_on_sigterm
from common.worker import Worker
from dialect_tests.standin_store import StandInStore

BOXES = 8
SITE = 'claims.example'
KEY = 'claims-key'
SERVICE = 'portal'
#: Bounds of the small deployments, in seconds.
DRAIN_SECONDS = 2.0
#: A box must have been without disruption for this long to be in touch.
CONTACT_SECONDS = 3.0
WORK_SECONDS = 0.06
#: The worker serves on for this long after it has said that it leaves.
SERVES_ON_SECONDS = 8.0
#: The other writer's entry: a service that no configuration names, cut in the middle of a
#: character, as a program writes it that cuts text by UTF-16 units.
FOREIGN_NAME = 'mail-7'
FOREIGN_SERVICE = 'mail-\ud83d'
RECORD = Path(__file__).with_name('record.txt')


def configuration() -> dict:
    """Return the operator's configuration."""
    common = {'host': SITE, 'service': SERVICE, 'timeoutMs': 3000, 'targetLatencyMs': 400}
    return {
        'version': 1,
        'routes': [
            common
            | {'name': 'r1', 'pathPrefix': '/status/', 'kind': 'unsafe', 'attempts': 1}
            | {'priority': 1},
            common
            | {'name': 'r2', 'pathPrefix': '/notice/', 'kind': 'safe', 'attempts': 2}
            | {'priority': 1},
        ],
        'services': [{'name': SERVICE, 'healthPath': '/health', 'maxConnections': 110}],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 65536,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [{'name': 'claims', 'apiKeys': [KEY], 'priority': 1}],
    }


def main() -> int:
    """Run the case; return 1 if DRAIN was broken, 0 if it held, 2 if the case could not run."""
    exit_on_sigterm()
    trouble = os.environ.get('TROUBLE', '1') != '0'
    store = StandInStore().start()
    workers = [Worker(f'i-{number}', WORK_SECONDS) for number in range(1, 4)]
    fleet = Fleet({f'front-{number}': store.port for number in range(1, BOXES + 1)})
    lines = []
    try:
        for worker in workers:
            worker.start()
            store.objects.put('servers', worker.id, worker.entry(SERVICE))
        store.configure(configuration())
        fleet.start()
        return play(trouble, store, workers, fleet, lines)
    except CannotRun as error:
        lines.append(f'the case could not run: {error}')
        return 2
    finally:
        fleet.stop()
        RECORD.write_text('\n'.join(lines) + '\n')


def play(trouble: bool, store: StandInStore, workers: list[Worker], fleet: Fleet, lines) -> int:
    """Let one worker leave, and check which requests still reach it."""
    began = time.monotonic()
    clients = []
    for box in fleet.boxes:
        clients.append(Client(box, SITE, KEY, '/status/1', 'POST', 0.05))
        clients.append(Client(box, SITE, KEY, '/notice/1', 'GET', 0.05))
    for client in clients:
        client.start()
    time.sleep(2 * CONTACT_SECONDS)
    if trouble:
        foreign = workers[0].entry(FOREIGN_SERVICE) | {'address': '127.0.0.1:9'}
        store.objects.put('servers', FOREIGN_NAME, foreign)
        lines.append(f'{time.monotonic() - began:.3f} s  another writer adds {json.dumps(foreign)}')
    time.sleep(CONTACT_SECONDS)
    leaving = workers[0]
    store.objects.put('servers', leaving.id, leaving.entry(SERVICE, 'draining'))
    acknowledged = time.monotonic()
    lines.append(f'{acknowledged - began:.3f} s  the store acknowledges that {leaving.id} leaves')
    time.sleep(SERVES_ON_SECONDS)
    leaving.end()
    lines.append(f'{time.monotonic() - began:.3f} s  {leaving.id} ends')
    time.sleep(1.0)
    for client in clients:
        client.stop()
    if any(box.process.poll() is not None for box in fleet.boxes):
        raise CannotRun('a box has ended')
    sent = {one.request_id: one for client in clients for one in client.sent}
    late = [one for one in leaving.arrivals if one.at > acknowledged + DRAIN_SECONDS]
    boxes = sorted({sent[one.request_id].box for one in late if one.request_id in sent})
    served = sum(one.status == 200 for one in sent.values())
    lines.append(f'{len(sent)} requests sent to {BOXES} boxes, {served} answered with 200')
    for worker in workers:
        lines.append(f'{worker.id} ran {len(worker.arrivals)} requests')
    lines.append(
        f'{len(late)} requests reached {leaving.id} more than {DRAIN_SECONDS} s after it left; '
        f'sent there by {", ".join(boxes) or "no box"}'
    )
    lost = [
        sent[one.request_id]
        for one in late
        if one.request_id in sent and sent[one.request_id].status != 200
    ]
    lines.append(f'{len(lost)} of these got no success, as {leaving.id} ended under them:')
    for one in lost:
        lines.append(f'  {one.request_id} sent to {one.box} {one.path}, answered {one.status}')
    for one in late[:20]:
        client_side = sent.get(one.request_id)
        lines.append(
            f'{one.at - began:.3f} s  {one.request_id} reaches {leaving.id}, '
            f'{one.at - acknowledged:.3f} s after its leaving was acknowledged; '
            f'sent to {client_side.box if client_side else "?"} '
            f'{client_side.path if client_side else ""}, '
            f'answered {client_side.status if client_side else "?"}'
        )
    lines.append('DRAIN was broken' if late else 'DRAIN held')
    return 1 if late else 0


if __name__ == '__main__':
    sys.exit(main())
