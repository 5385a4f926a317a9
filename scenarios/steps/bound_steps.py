"""Steps about load, limits and queues."""

import time

from behave import given, then, when

STREAM_TOKENS = 120


@given('a limit of {count:d} calls in flight for workspace "{workspace}"')
def set_limit(context, count, workspace):
    space = context.world.tree['workspaces'][workspace]
    space['limits'] = {'requests_in_flight': count}


@given('a queue of {count:d} call')
def set_queue(context, count):
    context.world.tree['fleet']['policy']['queue_calls'] = count


def open_streams(context, count, seconds, **options):
    world = context.world
    boxes = [process.name for process in world.fleet.processes.values() if process.kind == 'box']
    context.surge_records = getattr(context, 'surge_records', [])
    for _ in range(count):
        name = f'rush-{len(context.surge_records)}'
        box = boxes[len(context.surge_records) % len(boxes)]
        record = world.send(name, box, mark='rush', stream='yes', tokens=STREAM_TOKENS, **options)
        context.surge_records.append(record)
        time.sleep(seconds / count)
    time.sleep(0.3)


@when('{count:d} long streams of chat "{chat}" are opened over {seconds:g} s')
def surge_of_chat(context, count, chat, seconds):
    open_streams(context, count, seconds, chat=chat)


@when('{count:d} long streams of workspace "{workspace}" are opened over {seconds:g} s')
def surge_of_workspace(context, count, workspace, seconds):
    open_streams(context, count, seconds, workspace=workspace)


def running(context):
    fleet = context.world.fleet
    return {
        process.name: fleet.http.request('GET', f'{process.url}/load').json()['running']
        for process in fleet.processes.values()
        if process.kind == 'engine'
    }


@then('no engine runs more than {multiple:g} times the mean')
def within_multiple(context, multiple):
    counts = running(context)
    mean = sum(counts.values()) / len(counts)
    assert sum(counts.values()) == len(context.surge_records), counts
    assert max(counts.values()) <= multiple * mean, counts


@then('no engine that was there before runs more than {multiple:g} times the mean of all')
def old_within_multiple(context, multiple):
    counts = running(context)
    mean = sum(counts.values()) / len(counts)
    assert min(counts.values()) > 0, counts
    assert max(counts.values()) <= multiple * mean, counts


@then('at most {count:d} streams of the surge run')
def at_most_run(context, count):
    assert sum(running(context).values()) <= count, running(context)


@then('at least {count:d} streams of the surge run')
def at_least_run(context, count):
    assert sum(running(context).values()) >= count, running(context)


@then('every refused stream of the surge was "{code}", ran "{ran}"')
def refused_as(context, code, ran):
    refused = [record.error_document for record in context.surge_records if record.status >= 400]
    assert refused, 'none was refused'
    wrong = [problem for problem in refused if (problem['code'], problem['ran']) != (code, ran)]
    assert not wrong, wrong[:3]


@then('call "{first}" ran before call "{second}"')
def ran_before(context, first, second):
    marks = [row['mark'] for row in context.world.fleet.ledgers()]
    assert marks.index(first) < marks.index(second), marks
