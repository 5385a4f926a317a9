"""Behave hooks: each scenario gets a fleet of its own."""

from scenarios.world import World


def before_scenario(context, scenario):
    context.world = World()


def after_scenario(context, scenario):
    if scenario.status == 'failed':
        context.world.show_logs()
    context.world.close()
