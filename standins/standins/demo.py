"""Demonstrates the whole request path; run it with `python -m standins.demo`.

Starts all processes on loopback, runs a chat through two boxes, and prints for
each turn the engine that served it, the reason, and the prompt tokens reused.
Exits with status 1 and an error message if a step fails.
"""

import argparse
import json
import sys
import time
from dataclasses import dataclass
from pathlib import Path

import yaml

from .fleet import FleetError, LocalFleet

KEY = 'kusina-demo-key'
OTHER_KEY = 'port-louis-demo-key'
MODEL = 'cook-large'
TREE = Path('examples/tree.yaml')
TURNS = (
    'Plan a week of dinners for six, with one adobo.',
    'Swap Tuesday for something without pork.',
    'What do I buy on market day?',
    'Make the shopping list shorter.',
)
ENGINES = 3
#: The exit status that shells expect of an interrupted program.
CTRL_C = 130
BOXES = ('box-1', 'box-2')


def expect(condition: bool, message: str) -> None:
    """Raise FleetError with `message` unless the condition holds."""
    if not condition:
        raise FleetError(message)


def print_line(text: str = '') -> None:
    """Print one line of progress."""
    print(text, flush=True)


@dataclass
class Reply:
    """The response to one call."""

    status: int
    headers: dict
    body: bytes

    def json(self) -> dict:
        """Return the body parsed as JSON."""
        return json.loads(self.body)

    def events(self) -> list[dict]:
        """Return the body's events, without the final `[DONE]` marker."""
        lines = [line for line in self.body.decode().splitlines() if line.startswith('data: {')]
        return [json.loads(line.removeprefix('data: ')) for line in lines]


class Caller:
    """A client of the boxes, using one workspace's key."""

    def __init__(self, fleet: LocalFleet, key: str = KEY):
        self._fleet = fleet
        self._key = key

    def call(self, box: str, path: str, body: dict | None = None, **headers: str) -> Reply:
        """Send a POST with `body`, or a GET if there is none."""
        answer = self._fleet.http.request(
            'GET' if body is None else 'POST',
            self._fleet.processes[box].url + path,
            json=body,
            headers={'Authorization': f'Bearer {self._key}'} | headers,
        )
        return Reply(answer.status, dict(answer.headers), answer.data)

    def chat(self, box: str, messages: list[dict], stream: bool, **headers: str) -> Reply:
        """Send one turn of a chat."""
        body = {
            'model': MODEL,
            'messages': messages,
            'max_tokens': 12,
            'stream': stream,
            'prompt_cache_key': 'demo-week-plan',
        }
        return self.call(box, '/v1/chat/completions', body, **headers)


def start(fleet: LocalFleet) -> None:
    """Start the stand-ins, apply the settings and start the boxes."""
    fleet.start_platform()
    for number in range(1, ENGINES + 1):
        fleet.start_engine(f'engine-{number}', 'recipes')
    fleet.start_service('pantry-1', 'pantry')
    fleet.apply(yaml.safe_load(TREE.read_text(encoding='utf-8')))
    for box in BOXES:
        fleet.start_box(box)


def show_chat(fleet: LocalFleet) -> None:
    """Send the chat's turns through both boxes, streamed and not."""
    print_line('A chat of four turns, through both boxes:')
    caller = Caller(fleet)
    messages: list[dict] = []
    for number, text in enumerate(TURNS):
        messages.append({'role': 'user', 'content': text})
        box, stream = BOXES[number % 2], number % 2 == 1
        reply = caller.chat(box, messages, stream)
        expect(reply.status == 200, f'turn {number + 1}: {reply.status} {reply.body!r}')
        if stream:
            events = reply.events()
            deltas = [event['choices'][0]['delta'].get('content', '') for event in events]
            answer, usage = ''.join(deltas), events[-1]['usage']
            expect(b'data: [DONE]' in reply.body, 'the stream did not end')
        else:
            answer = reply.json()['choices'][0]['message']['content']
            usage = reply.json()['usage']
        messages.append({'role': 'assistant', 'content': answer})
        show_turn(number, box, stream, reply, usage)


def show_turn(number: int, box: str, stream: bool, reply: Reply, usage: dict) -> None:
    """Print which engine served a turn, why, and how many tokens were reused."""
    engine, _, rank = reply.headers['Seamhold-Served-By'].partition('; rank=')
    reused = usage['prompt_tokens_details']['cached_tokens']
    delivery = 'streamed' if stream else 'whole'
    reason = 'first for this chat' if rank == '0' else f'number {int(rank) + 1} for this chat'
    print_line(
        f'  turn {number + 1}  {box}  {delivery:8}  {engine} ({reason}), '
        f'{reused} of {usage["prompt_tokens"]} prompt tokens reused'
    )
    if number:
        expect(reused > 0, 'a later turn of the chat reused no prompt tokens')


def show_service(fleet: LocalFleet) -> None:
    """Call a plain service."""
    reply = Caller(fleet).call('box-1', '/services/pantry/stock?item=vinegar')
    expect(reply.status == 200, f'the pantry returned {reply.status}')
    print_line(f'The pantry, a plain service: {reply.json()["path"]} answered {reply.status}')


def show_refusal(fleet: LocalFleet) -> None:
    """Show that a workspace cannot use a service it has no access to."""
    reply = Caller(fleet, OTHER_KEY).call('box-2', '/services/pantry/stock')
    expect(reply.status == 404, f'a call of another workspace returned {reply.status}')
    problem = reply.json()
    print_line(f'Refused: {problem["code"]} (ran: {problem["ran"]}): {problem["detail"]}')


def show_once(fleet: LocalFleet) -> None:
    """Show that a ticketed call that is sent twice runs once."""
    caller = Caller(fleet)
    ticket = caller.call('box-1', '/v1/tickets', {}).json()['tickets'][0]
    messages = [{'role': 'user', 'content': 'No vinegar left: what instead?'}]
    request_headers = {'Seamhold-Ticket': ticket, 'Seamhold-Route': 'substitution'}
    before = len(fleet.ledgers())
    first = caller.chat('box-2', messages, False, **request_headers)
    repeated = caller.chat('box-1', messages, False, **request_headers)
    ran = len(fleet.ledgers()) - before
    expect(first.status == 200, f'the ticketed call returned {first.status} {first.body!r}')
    expect(repeated.status == 409, f'the repeated call returned {repeated.status}')
    expect(ran == 1, f'the ticketed call ran {ran} times')
    problem = repeated.json()
    print_line(
        f'A ticket of box-1, used through box-2, then again: {first.status}, '
        f'then {problem["code"]} (ran: {problem["ran"]}); the engines ran it {ran} time'
    )


def stop(fleet: LocalFleet) -> None:
    """Stop each box gracefully."""
    for box in BOXES:
        status = fleet.terminate(box)
        expect(status == 0, f'{box} exited with status {status}: {fleet.log_of(box)}')
    print_line('Both boxes stopped cleanly.')


def run_demo() -> None:
    """Run all steps in order."""
    started = time.monotonic()
    with LocalFleet() as fleet:
        print_line(
            f'Starting a platform, {ENGINES} engines, a plain service and {len(BOXES)} boxes ...'
        )
        start(fleet)
        show_chat(fleet)
        show_service(fleet)
        show_refusal(fleet)
        show_once(fleet)
        stop(fleet)
    print_line(f'Everything worked, in {time.monotonic() - started:.1f} s.')


def run_up() -> None:
    """Keep all processes running until Ctrl-C."""
    with LocalFleet() as fleet:
        start(fleet)
        print_line('Running; Ctrl-C stops everything.')
        for process in fleet.processes.values():
            operators = f'  operators {process.operator_url}' if process.kind == 'box' else ''
            print_line(f'  {process.name:10} {process.url}{operators}')
        print_line(f'Key of workspace kusina: {KEY}')
        print_line(
            f'  curl {fleet.processes["box-1"].url}/v1/chat/completions '
            f"-H 'Authorization: Bearer {KEY}' "
            f'-d \'{{"model": "{MODEL}", "messages": [{{"role": "user", "content": "hi"}}]}}\''
        )
        try:
            while all(process.alive for process in fleet.processes.values()):
                time.sleep(0.5)
            raise FleetError('a process exited unexpectedly')
        except KeyboardInterrupt:
            print_line('Stopping.')


def main() -> None:
    """Run the demo, or keep the processes running with --up."""
    parser = argparse.ArgumentParser(description='seamhold on loopback')
    parser.add_argument('--up', action='store_true', help='keep running until Ctrl-C')
    options = parser.parse_args()
    try:
        run_up() if options.up else run_demo()
    except FleetError as error:
        print(f'The demo failed: {error}', file=sys.stderr)
        sys.exit(1)
    except KeyboardInterrupt:
        print_line('Stopped.')
        sys.exit(CTRL_C)


if __name__ == '__main__':
    main()
