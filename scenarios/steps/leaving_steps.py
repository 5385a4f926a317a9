"""Steps about leaving engines, stopping boxes and continuous callers."""

import time
from collections import Counter

from behave import step, then, when

from scenarios.load import Load
from standins.fleet import wait_until

SETTLE_SECONDS = 0.5


@step("the platform's lists lag by {seconds:g} s")
def lists_lag(context, seconds):
    context.world.fleet.faults('platform', list_lag=seconds)


@then('the engines refused {count:d} call in total')
def refused_in_all(context, count):
    fleet = context.world.fleet
    engines = [process for process in fleet.processes.values() if process.kind == 'engine']
    refused = [
        fleet.http.request('GET', f'{engine.url}/load').json()['refused'] for engine in engines
    ]
    assert sum(refused) == count, refused


def engine_of(context, mark):
    fleet = context.world.fleet
    for process in fleet.processes.values():
        if process.kind == 'engine' and any(
            row['mark'] == mark for row in fleet.ledger(process.name)
        ):
            return process.name
    raise AssertionError(f'no engine ran {mark}')


@when('the engine that runs "{mark}" is listed as {phase}')
def list_as(context, mark, phase):
    context.world.fleet.update_engine(engine_of(context, mark), phase=phase)


@step('"{engine}" is listed as leaving')
def list_named(context, engine):
    context.world.fleet.update_engine(engine, phase='leaving')


@then('the engine that ran "{mark}" ran nothing marked "{other}"')
def ran_nothing(context, mark, other):
    rows = context.world.fleet.ledger(engine_of(context, mark))
    marked = [row for row in rows if row['mark'] == other]
    assert not marked, marked


@when('"{box}" is asked to stop')
def ask_stop(context, box):
    import signal

    context.world.fleet.signal(box, signal.SIGTERM)


@when('an operator drains "{box}"')
def drain(context, box):
    fleet = context.world.fleet
    result = fleet.command('drain', '--box', fleet.processes[box].operator_url)
    assert result.returncode == 0, result.stderr


@then('"{box}" exits with status {status:d}')
def left(context, box, status):
    assert context.world.fleet.processes[box].popen.wait(15) == status


@when('{count:d} callers call continuously')
def call_on(context, count):
    context.world.load = Load(context.world, count)
    context.world.load.start()
    wait_until(lambda: len(context.world.load.records) > count, description='the callers to begin')


@when('each box is restarted in turn')
def restart_all(context):
    fleet = context.world.fleet
    boxes = [process.name for process in fleet.processes.values() if process.kind == 'box']
    for box in boxes:
        config = fleet.processes[box].config
        assert fleet.terminate(box) == 0, fleet.log_of(box)
        fleet.run_box(box, config)
        time.sleep(SETTLE_SECONDS)


@step('the callers stop')
def callers_stop(context):
    context.records = context.world.load.stop()
    assert len(context.records) > 20, f'only {len(context.records)} calls'


def failures(context):
    return [record for record in context.records if not record.complete]


def describe(record):
    return f'{record.name}: {record.status} {record.connection_error} {record.body[-200:]!r}'


@then('every call of the callers got a complete answer')
def all_whole(context):
    failed = failures(context)
    assert not failed, '\n'.join(map(describe, failed[:5]))


def runs(context):
    return Counter(row['mark'] for row in context.world.fleet.ledgers())


@then('every call of the callers ran once')
def all_once(context):
    counts = runs(context)
    wrong = {
        record.mark: counts[record.mark] for record in context.records if counts[record.mark] != 1
    }
    assert not wrong, wrong


@then('no call of the callers ran more than once')
def none_twice(context):
    twice = {mark: count for mark, count in runs(context).items() if count > 1}
    assert not twice, twice


@then('only calls that were in flight on a killed box failed')
def only_in_flight(context):
    # The balancer may send a few more calls to the box before it notices that the box
    # is down; their connections are refused and they run nowhere.
    refused = [
        record for record in failures(context) if 'NewConnectionError' in record.connection_error
    ]
    in_flight = [record for record in failures(context) if record not in refused]
    wrong = [record for record in in_flight if not record.connection_error]
    assert not wrong, '\n'.join(map(describe, wrong[:5]))
    assert len(in_flight) <= context.world.load.callers, len(in_flight)
    counts = runs(context)
    ran = [record.mark for record in refused if counts[record.mark]]
    assert not ran, ran


@then('every report to the callers that a call did not run is true')
def not_run_reports_are_true(context):
    counts = runs(context)
    wrong = [
        record.mark
        for record in context.records
        if record.error_document.get('ran') == 'no' and counts[record.mark] > 0
    ]
    assert not wrong, wrong


@when('engine "{name}" joins')
def join(context, name):
    context.world.fleet.start_engine(name, 'recipes', token_seconds=0.1)


@then('the boxes agree that "{engine}" is {phase}')
def agree(context, engine, phase):
    fleet = context.world.fleet
    boxes = [process.name for process in fleet.processes.values() if process.kind == 'box']

    def phases():
        seen = set()
        for box in boxes:
            engines = fleet.status(box)['engines']
            seen |= {item['phase'] for item in engines if item['name'] == engine}
        return seen

    wait_until(lambda: phases() == {phase}, 6, f'{engine} to be {phase} everywhere')
