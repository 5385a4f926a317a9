"""A guided run of the whole path; `python -m standins.demo`.

Starts everything on loopback, holds a chat through two boxes, and shows for
each turn which engine served it, what was reused and why.  Leaves with 1 and
a plain message if any step fails.
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
#: What a shell expects of a program that was interrupted.
CTRL_C = 130
BOXES = ('box-1', 'box-2')


def expect(condition: bool, what: str) -> None:
    """Fail the demo with a plain message."""
    if not condition:
        raise FleetError(what)


def say(text: str = '') -> None:
    """One line for the person who watches."""
    print(text, flush=True)


@dataclass
class Reply:
    """What a caller got."""

    status: int
    headers: dict
    body: bytes

    def json(self) -> dict:
        """The body as JSON."""
        return json.loads(self.body)

    def events(self) -> list[dict]:
        """The body's events, without the last one that says it is whole."""
        lines = [line for line in self.body.decode().splitlines() if line.startswith('data: {')]
        return [json.loads(line.removeprefix('data: ')) for line in lines]


class Caller:
    """Calls a box as a client would."""

    def __init__(self, fleet: LocalFleet, key: str = KEY):
        self._fleet = fleet
        self._key = key

    def call(self, box: str, path: str, body: dict | None = None, **headers: str) -> Reply:
        """POST `body`, or GET without one."""
        answer = self._fleet.http.request(
            'GET' if body is None else 'POST',
            self._fleet.processes[box].url + path,
            json=body,
            headers={'Authorization': f'Bearer {self._key}'} | headers,
        )
        return Reply(answer.status, dict(answer.headers), answer.data)

    def chat(self, box: str, messages: list[dict], stream: bool, **headers: str) -> Reply:
        """One turn of a chat."""
        body = {
            'model': MODEL,
            'messages': messages,
            'max_tokens': 12,
            'stream': stream,
            'prompt_cache_key': 'demo-week-plan',
        }
        return self.call(box, '/v1/chat/completions', body, **headers)


def start(fleet: LocalFleet) -> None:
    """Stand-ins, settings and boxes."""
    fleet.start_platform()
    for number in range(1, ENGINES + 1):
        fleet.start_engine(f'engine-{number}', 'recipes')
    fleet.start_service('pantry-1', 'pantry')
    fleet.apply(yaml.safe_load(TREE.read_text(encoding='utf-8')))
    for box in BOXES:
        fleet.start_box(box)


def show_chat(fleet: LocalFleet) -> None:
    """Turns through both boxes, streamed and not."""
    say('A chat of four turns, through both boxes:')
    caller = Caller(fleet)
    messages: list[dict] = []
    for number, text in enumerate(TURNS):
        messages.append({'role': 'user', 'content': text})
        box, stream = BOXES[number % 2], number % 2 == 1
        reply = caller.chat(box, messages, stream)
        expect(reply.status == 200, f'turn {number + 1}: {reply.status} {reply.body!r}')
        if stream:
            events = reply.events()
            words = [event['choices'][0]['delta'].get('content', '') for event in events]
            answer, usage = ''.join(words), events[-1]['usage']
            expect(b'data: [DONE]' in reply.body, 'the stream did not end')
        else:
            answer = reply.json()['choices'][0]['message']['content']
            usage = reply.json()['usage']
        messages.append({'role': 'assistant', 'content': answer})
        show_turn(number, box, stream, reply, usage)


def show_turn(number: int, box: str, stream: bool, reply: Reply, usage: dict) -> None:
    """Which engine served a turn, what was reused, and why."""
    engine, _, rank = reply.headers['Seamhold-Served-By'].partition('; rank=')
    reused = usage['prompt_tokens_details']['cached_tokens']
    way = 'streamed' if stream else 'whole'
    why = 'first for this chat' if rank == '0' else f'number {int(rank) + 1} for this chat'
    say(
        f'  turn {number + 1}  {box}  {way:8}  {engine} ({why}), '
        f'{reused} of {usage["prompt_tokens"]} prompt tokens reused'
    )
    if number:
        expect(reused > 0, 'a returning chat reused nothing')


def show_service(fleet: LocalFleet) -> None:
    """A call to a plain service."""
    reply = Caller(fleet).call('box-1', '/services/pantry/stock?item=vinegar')
    expect(reply.status == 200, f'the pantry answered {reply.status}')
    say(f'The pantry, a plain service: {reply.json()["path"]} answered {reply.status}')


def show_refusal(fleet: LocalFleet) -> None:
    """A workspace may not use what it was not given."""
    reply = Caller(fleet, OTHER_KEY).call('box-2', '/services/pantry/stock')
    expect(reply.status == 404, f'another workspace got {reply.status}')
    problem = reply.json()
    say(f'Refused: {problem["code"]} (ran: {problem["ran"]}): {problem["detail"]}')


def show_once(fleet: LocalFleet) -> None:
    """A ticketed call that is sent twice runs once."""
    caller = Caller(fleet)
    ticket = caller.call('box-1', '/v1/tickets', {}).json()['tickets'][0]
    messages = [{'role': 'user', 'content': 'No vinegar left: what instead?'}]
    marks = {'Seamhold-Ticket': ticket, 'Seamhold-Route': 'substitution'}
    before = len(fleet.ledgers())
    first = caller.chat('box-2', messages, False, **marks)
    again = caller.chat('box-1', messages, False, **marks)
    ran = len(fleet.ledgers()) - before
    expect(first.status == 200, f'the ticketed call got {first.status} {first.body!r}')
    expect(again.status == 409, f'the repeat got {again.status}')
    expect(ran == 1, f'the ticketed call ran {ran} times')
    problem = again.json()
    say(
        f'A ticket of box-1, used through box-2, then again: {first.status}, '
        f'then {problem["code"]} (ran: {problem["ran"]}); the engines ran it {ran} time'
    )


def stop(fleet: LocalFleet) -> None:
    """A planned stop of each box."""
    for box in BOXES:
        status = fleet.terminate(box)
        expect(status == 0, f'{box} left with {status}: {fleet.log_of(box)}')
    say('Both boxes stopped in good order.')


def run_demo() -> None:
    """All steps, in order."""
    began = time.monotonic()
    with LocalFleet() as fleet:
        say(f'Starting a platform, {ENGINES} engines, a plain service and {len(BOXES)} boxes ...')
        start(fleet)
        show_chat(fleet)
        show_service(fleet)
        show_refusal(fleet)
        show_once(fleet)
        stop(fleet)
    say(f'Everything worked, in {time.monotonic() - began:.1f} s.')


def run_up() -> None:
    """Keep the set running until Ctrl-C."""
    with LocalFleet() as fleet:
        start(fleet)
        say('Running; Ctrl-C stops everything.')
        for process in fleet.processes.values():
            operators = f'  operators {process.operator_url}' if process.kind == 'box' else ''
            say(f'  {process.name:10} {process.url}{operators}')
        say(f'Key of workspace kusina: {KEY}')
        say(
            f'  curl {fleet.processes["box-1"].url}/v1/chat/completions '
            f"-H 'Authorization: Bearer {KEY}' "
            f'-d \'{{"model": "{MODEL}", "messages": [{{"role": "user", "content": "hi"}}]}}\''
        )
        try:
            while all(process.alive for process in fleet.processes.values()):
                time.sleep(0.5)
            raise FleetError('a process ended by itself')
        except KeyboardInterrupt:
            say('Stopping.')


def main() -> None:
    """Run the demo, or keep the set up."""
    parser = argparse.ArgumentParser(description='seamhold on loopback')
    parser.add_argument('--up', action='store_true', help='keep running until Ctrl-C')
    options = parser.parse_args()
    try:
        run_up() if options.up else run_demo()
    except FleetError as error:
        print(f'The demo failed: {error}', file=sys.stderr)
        sys.exit(1)
    except KeyboardInterrupt:
        say('Stopped.')
        sys.exit(CTRL_C)


if __name__ == '__main__':
    main()
