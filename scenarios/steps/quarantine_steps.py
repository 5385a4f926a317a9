"""Steps about a request that ends every engine that runs it."""

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


@step('call "{content}" is sent {count:d} times, at each box in turn')
def send_copies_to_each(context, content, count):
    send_copies(context.world, content, count, boxes(context.world))


@step('call "{content}" is sent {count:d} times, at "{first}" and "{second}" in turn')
def send_copies_to_two(context, content, count, first, second):
    send_copies(context.world, content, count, [first, second])


@step('call "{content}" is sent {count:d} times, at "{box}" in turn')
def send_copies_to_one(context, content, count, box):
    send_copies(context.world, content, count, [box])


def send_copies(world, content, count, names):
    """Send copies that differ only in their request ids, one after the other."""
    for number in range(count):
        name = f'copy-{len(world.calls)}'
        world.send(name, names[number % len(names)], mark='copies', content=content)
        world.last_copy_record = world.wait_for_call(name)
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


@step('an operator lifts the quarantine cases of "{box}"')
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


@then('the last copy is refused as "{code}", ran "{ran}"')
def last_refused(context, code, ran):
    record = context.world.last_copy_record
    assert record.error_document, f'{record.status} {record.connection_error}'
    assert (record.error_document['code'], record.error_document['ran']) == (code, ran), (
        record.error_document
    )


@then('the last copy gets a complete answer')
def last_answered(context):
    record = context.world.last_copy_record
    assert record.complete, f'{record.status} {record.connection_error} {record.body[-400:]!r}'
