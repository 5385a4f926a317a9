"""Steps that start the fleet, inject faults and undo them."""

import time

from behave import given, step

from standins.fleet import wait_until


@given('{boxes:d} boxes and {engines:d} engines')
def start_fleet(context, boxes, engines):
    context.world.start(boxes, engines)


@given('{boxes:d} boxes and {engines:d} slow engines')
def start_slow_fleet(context, boxes, engines):
    context.world.start(boxes, engines, token_seconds=0.1)


@given('{boxes:d} boxes and {engines:d} slow engines with {slots:d} slots')
def start_small_fleet(context, boxes, engines, slots):
    context.world.start(boxes, engines, token_seconds=0.1, slots=slots)


@step('the platform is down')
def platform_out(context):
    context.world.fleet.faults('platform', down=True)


@step('the platform is up again')
def platform_back(context):
    context.world.fleet.faults('platform', down=False)


@step('the platform answers after {seconds:g} s')
def platform_slow(context, seconds):
    context.world.fleet.faults('platform', slow=seconds)


@step('the platform holds writes until {count:d} have arrived')
def platform_gathers_writes(context, count):
    context.world.fleet.faults('platform', gather_writes=count)


@step('the platform loses the answers of {count:d} writes')
def platform_loses(context, count):
    context.world.fleet.faults('platform', lose_answers=count)


@step('every engine will {fault}')
def every_engine(context, fault):
    for process in list(context.world.fleet.processes.values()):
        if process.kind == 'engine':
            context.world.fleet.faults(process.name, **FAULTS[fault])


@step('the engine that ranks first for call "{mark}" will {fault}')
def first_engine(context, mark, fault):
    world = context.world
    world.send('probe', 'box-1', mark='probe', content=mark)
    probe = world.wait_for_call('probe')
    engine = probe.headers['Seamhold-Served-By'].partition(';')[0]
    world.fleet.faults(engine, **FAULTS[fault])


FAULTS = {
    'die before the first token': {'die_before_first': True},
    'die after 3 tokens': {'die_after_tokens': 3},
    'end its streams early': {'end_without_done': True},
    'answer with the id of another request': {'wrong_id': 'ffffffffffffffff'},
    'refuse': {'refuse': True},
    'report that it is leaving': {'leaving': True},
    'answer 500': {'fail_500': True},
    'accept again': {'refuse': False},
}


@step('"{name}" is killed')
def kill(context, name):
    context.world.fleet.kill(name)


@step('"{name}" freezes')
def freeze(context, name):
    context.world.fleet.freeze(name)


@step('"{name}" resumes')
def resume(context, name):
    context.world.fleet.thaw(name)


@step('"{name}" is started again')
def start_again(context, name):
    world = context.world
    world.fleet.run_box(name, world.fleet.processes[name].config)


@step('{seconds:g} s pass')
def wait(context, seconds):
    time.sleep(seconds)


@step('"{box}" knows that "{other}" restarted')
def knows_new_incarnation(context, box, other):
    fleet = context.world.fleet
    current = fleet.status(other)['incarnation']

    def incarnation_is_current():
        peers = {peer['name']: peer['incarnation'] for peer in fleet.status(box)['boxes']}
        return peers.get(other) == current

    wait_until(
        incarnation_is_current, description=f'{box} to receive the new incarnation of {other}'
    )
