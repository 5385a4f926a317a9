"""Steps that make calls and check their results."""

import time

from behave import step, then, when

from standins.fleet import wait_until

SETTLE_SECONDS = 0.5


@when('"{box}" issues ticket "{name}"')
def issue_ticket(context, box, name):
    context.world.issue_ticket(name, box)


@when('these calls are sent')
def send_all(context):
    for row in context.table:
        options = {key: row[key] for key in row.headings if row[key]}
        context.world.send(options.pop('call'), options.pop('box'), **options)


@when('these calls are sent one by one')
def send_in_turn(context):
    for row in context.table:
        options = {key: row[key] for key in row.headings if row[key]}
        name = options.pop('call')
        context.world.send(name, options.pop('box'), **options)
        context.world.wait_for_call(name)


@step('an engine has started call "{mark}"')
def has_started(context, mark):
    wait_until(lambda: context.world.has_started(mark), description=f'an engine to start {mark}')


@step('an engine received call "{mark}"')
def taken(context, mark):
    wait_until(lambda: context.world.ran(mark), description=f'an engine to take {mark}')


@step('call "{name}" waits in the queue of "{box}"')
def queued(context, name, box):
    fleet = context.world.fleet
    running = len(context.world.ran(name))
    wait_until(lambda: fleet.status(box)['in_flight'] > 0, description=f'{name} to wait')
    assert running == 0, f'{name} runs already'


@step('the caller of "{name}" disconnects')
def disconnect_caller(context, name):
    record = context.world.calls[name]
    wait_until(lambda: record.response is not None, description=f'{name} to be answered')
    record.response.connection.sock.shutdown(2)


@then('call "{name}" gets a complete answer')
def answered(context, name):
    record = context.world.wait_for_call(name)
    assert record.complete, (
        f'{name}: {record.status} {record.connection_error} {record.body[-400:]!r}'
    )


@then('call "{name}" has all its {count:d} tokens, each once and in order')
def all_tokens(context, name, count):
    record = context.world.wait_for_call(name)
    numbers = [int(word.partition('-')[2]) for word in record.text.split()]
    assert numbers == list(range(count)), f'{name}: {record.text!r}'


@then('call "{name}" is refused as "{code}", ran "{ran}"')
def refused(context, name, code, ran):
    record = context.world.wait_for_call(name)
    assert record.error_document, (
        f'{name}: {record.status} {record.connection_error} {record.body[-400:]!r}'
    )
    got = (record.error_document['code'], record.error_document['ran'])
    assert got == (code, ran), f'{name}: {got} {record.error_document["detail"]}'


@then('call "{name}" gets no complete answer')
def gets_no_complete_answer(context, name):
    record = context.world.wait_for_call(name)
    assert not record.complete, f'{name} looks complete: {record.body[-200:]!r}'


@then('call "{name}" is refused, ran "{ran}"')
def refused_any(context, name, ran):
    record = context.world.wait_for_call(name)
    assert record.error_document, f'{name}: {record.status} {record.connection_error}'
    assert record.error_document['ran'] == ran, f'{name}: {record.error_document}'


@then('the engines ran "{mark}" {count:d} times')
@then('the engines ran "{mark}" {count:d} time')
def ran_times(context, mark, count):
    time.sleep(SETTLE_SECONDS)
    rows = context.world.ran(mark)
    assert len(rows) == count, f'{mark} ran {len(rows)} times: {rows}'


@then('the engines ran "{mark}" at most once')
def ran_at_most_once(context, mark):
    time.sleep(SETTLE_SECONDS)
    rows = context.world.ran(mark)
    assert len(rows) <= 1, f'{mark} ran {len(rows)} times: {rows}'


@then('exactly one of "{first}" and "{second}" gets a complete answer')
def exactly_one(context, first, second):
    complete = [context.world.wait_for_call(name).complete for name in (first, second)]
    assert sorted(complete) == [False, True], complete


@then('every report that "{mark}" did not run is true')
def not_run_reports_are_true(context, mark):
    time.sleep(SETTLE_SECONDS)
    rows = context.world.ran(mark)
    for record in context.world.calls.values():
        if record.mark == mark and record.error_document.get('ran') == 'no':
            ids = {row['request_id'] for row in rows}
            assert record.error_document['request_id'] not in ids, f'{record.name} ran: {rows}'


@then('the engine cancelled call "{mark}"')
def cancelled(context, mark):
    wait_until(
        lambda: any(row['state'] == 'cancelled' for row in context.world.ran(mark)),
        description=f'{mark} to be cancelled',
    )
