"""Steps about several processes of one box."""

from behave import then, when

from scenarios.world import Sent


@when('a second process "{name}" serves on the port of "{box}"')
def second_process(context, name, box):
    fleet = context.world.fleet
    # The first has to share its port too.
    config = fleet.processes[box].config | {'reuse_port': True}
    assert fleet.terminate(box) == 0
    fleet.run_box(box, config)
    fleet.start_box(name, listen=config['listen'], reuse_port=True)


def new_connection_calls(context, count, box):
    world = context.world
    world.many = []
    for number in range(count):
        sent = Sent(f'many-{number}', f'many-{number}')
        world.http.clear()
        world.call(sent, box, {})
        world.many.append(sent)


@when('{count:d} calls are made on new connections to "{box}"')
def many_calls(context, count, box):
    new_connection_calls(context, count, box)


@then('all of them were answered whole')
def all_answered(context):
    failed = [sent for sent in context.world.many if not sent.whole]
    assert not failed, [(sent.status, sent.broken) for sent in failed]


@then('{count:d} calls on new connections to "{box}" are answered whole')
def answered_now(context, count, box):
    new_connection_calls(context, count, box)
    all_answered(context)


@then('both "{first}" and "{second}" answered some')
def both_answered(context, first, second):
    fleet = context.world.fleet
    counts = [fleet.status(name)['counters'].get('answered.2xx', 0) for name in (first, second)]
    assert all(counts) and sum(counts) == len(context.world.many), counts
