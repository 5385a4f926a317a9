"""Steps with a request that ends the engines that run it."""

import time

from behave import step, then

from standins.fleet import HOST

GAP_SECONDS = 0.2


def engines(world):
    return [process for process in world.fleet.processes.values() if process.kind == 'engine']


def boxes(world):
    return [name for name, process in world.fleet.processes.items() if process.kind == 'box']


@step('call "{content}" ends each engine that runs it')
def every_engine_ends(context, content):
    for engine in engines(context.world):
        context.world.fleet.faults(engine.name, ends_on=content)


@step('no call ends an engine any more')
def none_ends(context):
    for engine in engines(context.world):
        if engine.alive:
            context.world.fleet.faults(engine.name, ends_on='')


@step('call "{content}" comes {count:d} times, at each box in turn')
def comes_at_each(context, content, count):
    send_copies(context.world, content, count, boxes(context.world))


@step('call "{content}" comes {count:d} times, at "{first}" and "{second}" in turn')
def comes_at_two(context, content, count, first, second):
    send_copies(context.world, content, count, [first, second])


@step('call "{content}" comes {count:d} times, at "{box}" in turn')
def comes_at_one(context, content, count, box):
    send_copies(context.world, content, count, [box])


def send_copies(world, content, count, names):
    """Copies that tell nothing apart but their ids, one after the other."""
    for number in range(count):
        name = f'copy-{len(world.calls)}'
        world.send(name, names[number % len(names)], mark='copies', content=content)
        world.last_copy = world.finished(name)
        time.sleep(GAP_SECONDS)


@step('the engines that run "{mark}" are killed')
def kill_engines(context, mark):
    world = context.world
    running = [
        engine.name
        for engine in engines(world)
        if engine.alive and any(row['mark'] == mark for row in world.fleet.ledger(engine.name))
    ]
    for name in running:
        world.fleet.kill(name)


@step('an operator lifts what "{box}" knows')
def lift(context, box):
    world = context.world
    url = f'http://{HOST}:{world.fleet.processes[box].operator_port}'
    for case in world.fleet.status(box)['quarantine']:
        result = world.fleet.command('quarantine', 'lift', case['request'], '--box', url)
        assert result.returncode == 0, result.stderr


@then('at most {count:d} engines ended')
def ended_at_most(context, count):
    ended = [engine.name for engine in engines(context.world) if not engine.alive]
    assert len(ended) <= count, ended


@then('its last caller is refused as "{code}", ran "{ran}"')
def last_refused(context, code, ran):
    sent = context.world.last_copy
    assert sent.problem, f'{sent.status} {sent.broken}'
    assert (sent.problem['code'], sent.problem['ran']) == (code, ran), sent.problem


@then('its last caller is answered whole')
def last_answered(context):
    sent = context.world.last_copy
    assert sent.whole, f'{sent.status} {sent.broken} {sent.body[-400:]!r}'
