"""Steps that make calls and look at what came of them."""

import time

from behave import step, then, when

from standins.fleet import wait_until

SETTLE_SECONDS = 0.5


@when('"{box}" gives ticket "{name}"')
def mint(context, box, name):
    context.world.mint(name, box)


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
        context.world.finished(name)


@step('an engine has begun call "{mark}"')
def begun(context, mark):
    wait_until(lambda: context.world.begun(mark), description=f'an engine to begin {mark}')


@step('an engine took call "{mark}"')
def taken(context, mark):
    wait_until(lambda: context.world.ran(mark), description=f'an engine to take {mark}')


@step('call "{name}" waits in the queue of "{box}"')
def queued(context, name, box):
    fleet = context.world.fleet
    running = len(context.world.ran(name))
    wait_until(lambda: fleet.status(box)['in_flight'] > 0, description=f'{name} to wait')
    assert running == 0, f'{name} runs already'


@step('the caller of "{name}" leaves')
def leave(context, name):
    sent = context.world.calls[name]
    wait_until(lambda: sent.response is not None, description=f'{name} to be answered')
    sent.response.connection.sock.shutdown(2)


@then('call "{name}" is answered whole')
def answered(context, name):
    sent = context.world.finished(name)
    assert sent.whole, f'{name}: {sent.status} {sent.broken} {sent.body[-400:]!r}'


@then('call "{name}" has all its {count:d} tokens, each once and in order')
def all_tokens(context, name, count):
    sent = context.world.finished(name)
    numbers = [int(word.partition('-')[2]) for word in sent.text.split()]
    assert numbers == list(range(count)), f'{name}: {sent.text!r}'


@then('call "{name}" is refused as "{code}", ran "{ran}"')
def refused(context, name, code, ran):
    sent = context.world.finished(name)
    assert sent.problem, f'{name}: {sent.status} {sent.broken} {sent.body[-400:]!r}'
    got = (sent.problem['code'], sent.problem['ran'])
    assert got == (code, ran), f'{name}: {got} {sent.problem["detail"]}'


@then('call "{name}" is broken off')
def broken(context, name):
    sent = context.world.finished(name)
    assert not sent.whole, f'{name} passed as whole: {sent.body[-200:]!r}'


@then('call "{name}" is refused, ran "{ran}"')
def refused_any(context, name, ran):
    sent = context.world.finished(name)
    assert sent.problem, f'{name}: {sent.status} {sent.broken}'
    assert sent.problem['ran'] == ran, f'{name}: {sent.problem}'


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


@then('exactly one of "{first}" and "{second}" is answered whole')
def exactly_one(context, first, second):
    whole = [context.world.finished(name).whole for name in (first, second)]
    assert sorted(whole) == [False, True], whole


@then('whoever was told that "{mark}" did not run was told the truth')
def told_truth(context, mark):
    time.sleep(SETTLE_SECONDS)
    rows = context.world.ran(mark)
    for sent in context.world.calls.values():
        if sent.mark == mark and sent.problem.get('ran') == 'no':
            ids = {row['request_id'] for row in rows}
            assert sent.problem['request_id'] not in ids, f'{sent.name} ran: {rows}'


@then('the engine cancelled call "{mark}"')
def cancelled(context, mark):
    wait_until(
        lambda: any(row['state'] == 'cancelled' for row in context.world.ran(mark)),
        description=f'{mark} to be cancelled',
    )
