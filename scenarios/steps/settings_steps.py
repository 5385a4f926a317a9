"""Steps about operators' changes and the settings in force."""

import json
import threading
import time

from behave import step, then, when

from standins.fleet import wait_until

IN_FORCE_SECONDS = 6


def boxes(context):
    processes = context.world.fleet.processes.values()
    return [process.name for process in processes if process.kind == 'box']


def set_value(context, path, value):
    fleet = context.world.fleet
    return fleet.command('settings', 'set', path, value, '--platform', fleet.platform.url)


def edit_of(result):
    return result.stdout.rpartition('edit ')[2].strip()


@step('an operator sets "{path}" to "{value}"')
def set_one(context, path, value):
    result = set_value(context, path, value)
    assert result.returncode == 0, result.stderr
    context.edit = edit_of(result)
    context.object = result.stdout.partition(':')[0]


@step('the change is in force on every box within {seconds:g} s')
def in_force(context, seconds):
    fleet = context.world.fleet

    def everywhere():
        edits = [fleet.status(box)['settings']['edits'] for box in boxes(context)]
        return all(edit.get(context.object) == context.edit for edit in edits)

    wait_until(everywhere, seconds, 'the change to be in force')


@then('at most {count:d} boxes watch the settings')
def at_most_watch(context, count):
    fleet = context.world.fleet

    def waiting():
        url = f'{fleet.platform.url}/standin/waiting'
        return fleet.http.request('GET', url).json()['settings']

    def stays_within_limit():
        deadline = time.monotonic() + 2
        while time.monotonic() < deadline:
            if waiting() > count:
                return False
            time.sleep(0.1)
        return waiting() >= 1

    # While boxes join, others watch in their place, for at most the length of one watch.
    wait_until(stays_within_limit, 20, f'at most {count} watchers')


@when('two operators set "{path}" at once to "{first}" and "{second}"')
def two_at_once(context, path, first, second):
    context.results = {}

    def run(value):
        context.results[value] = set_value(context, path, value)

    threads = [threading.Thread(target=run, args=(value,)) for value in (first, second)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(60)


@then('one of them wins and the other sees a conflict')
def one_wins(context):
    codes = sorted(result.returncode for result in context.results.values())
    assert codes == [0, 4], [result.stderr for result in context.results.values()]
    loser = next(result for result in context.results.values() if result.returncode == 4)
    assert 'changed it first' in loser.stderr, loser.stderr
    winner = next(result for result in context.results.values() if result.returncode == 0)
    context.edit = edit_of(winner)
    context.object = 'fleet'


@then("the winner's value is in force on every box")
def winner_in_force(context):
    in_force(context, IN_FORCE_SECONDS)


@then('object "{name}" is at revision {revision:d} on every box')
def at_revision(context, name, revision):
    fleet = context.world.fleet
    found = [fleet.status(box)['settings']['revisions'].get(name) for box in boxes(context)]
    assert set(found) == {revision}, found


@when('"{box}" is started again with "{seed}" as its seed')
def start_with_seed(context, box, seed):
    fleet = context.world.fleet
    peer = fleet.processes[seed].config['peer_listen']
    fleet.run_box(box, fleet.processes[box].config | {'seed_peers': [peer]})


@when('someone writes an invalid "{name}" object into the platform')
def write_invalid(context, name):
    spec = {
        'revision': 9,
        'edits': [{'id': 'bad', 'at': 0, 'author': 'nobody'}],
        'value': {'no-such-key': 1},
    }
    context.world.fleet.write('settings', name, spec)


@then('a box reports why "{name}" was rejected')
def reports_rejection(context, name):
    fleet = context.world.fleet
    reasons = [fleet.status(box)['settings']['rejected'].get(name, '') for box in boxes(context)]
    assert any('no-such-key' in reason for reason in reasons), reasons


@when('the platform saves a snapshot')
def keep_copy(context):
    fleet = context.world.fleet
    fleet.http.request('POST', f'{fleet.platform.url}/standin/copy')


def reset(context):
    fleet = context.world.fleet
    fleet.http.request('POST', f'{fleet.platform.url}/standin/reset')


@when('the platform is reset to its snapshot')
def reset_platform(context):
    reset(context)


@when('the platform is reset to its snapshot and an operator sets "{path}" to "{value}" at once')
def reset_and_set(context, path, value):
    fleet = context.world.fleet
    key = path.split('.')[1:]
    url = f'{fleet.platform.url}/apis/seamhold/v1/settings/fleet'
    for process in boxes(context):
        fleet.freeze(process)
    reset(context)
    spec = fleet.http.request('GET', url).json()['spec']
    place = spec['value']
    for part in key[:-1]:
        place = place.setdefault(part, {})
    place[key[-1]] = float(value)
    spec['revision'] += 1
    spec['edits'].append({'id': 'edit-on-copy', 'at': 0, 'author': 'operator'})
    fleet.write('settings', 'fleet', spec)
    for process in boxes(context):
        fleet.thaw(process)
    context.edit, context.object = 'edit-on-copy', 'fleet'


@then('the value "{value}" of "{path}" is in force on every box within {seconds:g} s')
def value_in_force(context, value, path, seconds):
    in_force(context, seconds)


@then('object "{name}" never falls below revision {revision:d} on any box for {seconds:g} s')
def never_below(context, name, revision, seconds):
    fleet = context.world.fleet
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        for box in boxes(context):
            held = fleet.status(box)['settings']['revisions'][name]
            assert held >= revision, f'{box} went back to {held}'
        time.sleep(0.1)


@then('the platform holds revision {revision:d} of "{name}" again within {seconds:g} s')
def holds_again(context, revision, name, seconds):
    fleet = context.world.fleet
    url = f'{fleet.platform.url}/apis/seamhold/v1/settings/{name}'

    def is_restored():
        spec = json.loads(fleet.http.request('GET', url).data)['spec']
        return spec['revision'] == revision

    wait_until(is_restored, seconds, 'the platform to be repaired')
