"""Steps about several processes of one box."""

from behave import then, when

from scenarios.world import CallRecord


@when('a second process "{name}" serves on the port of "{box}"')
def second_process(context, name, box):
    fleet = context.world.fleet
    # Both processes must set reuse_port, so the first one is restarted with it.
    config = fleet.processes[box].config | {'reuse_port': True}
    assert fleet.terminate(box) == 0
    fleet.run_box(box, config)
    fleet.start_box(name, listen=config['listen'], reuse_port=True)


def new_connection_calls(context, count, box):
    world = context.world
    world.new_connection_records = []
    for number in range(count):
        record = CallRecord(f'many-{number}', f'many-{number}')
        world.http.clear()
        world.call(record, box, {})
        world.new_connection_records.append(record)


@when('{count:d} calls are made on new connections to "{box}"')
def many_calls(context, count, box):
    new_connection_calls(context, count, box)


@then('all of them got complete answers')
def all_answered(context):
    failed = [record for record in context.world.new_connection_records if not record.complete]
    assert not failed, [(record.status, record.connection_error) for record in failed]


@then('{count:d} calls on new connections to "{box}" get complete answers')
def answered_now(context, count, box):
    new_connection_calls(context, count, box)
    all_answered(context)


@then('both "{first}" and "{second}" answered some')
def both_answered(context, first, second):
    fleet = context.world.fleet
    counts = [fleet.status(name)['counters'].get('answered.2xx', 0) for name in (first, second)]
    assert all(counts) and sum(counts) == len(context.world.new_connection_records), counts
