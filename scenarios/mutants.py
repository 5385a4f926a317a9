"""Mutation tests of the scenarios: disables each mechanism in turn.

`python -m scenarios.mutants` copies the packages, changes the code of one
mechanism in the copy, and runs the scenario that must fail.  Exits with
status 1 if a scenario does not fail.
"""

import os
import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parent.parent
RUN_SECONDS = 180
#: Behave's output for a step that failed or timed out.
FAILED_MARKS = ('FAILURE in step', 'FleetError: waited')


@dataclass(frozen=True)
class Edit:
    """A text in a file and its replacement."""

    file: str
    old: str
    new: str


@dataclass(frozen=True)
class Mutant:
    """A disabled mechanism and the scenario that must fail without it."""

    name: str
    file: str
    old: str
    new: str
    scenario: str
    also: tuple[Edit, ...] = ()

    @property
    def edits(self) -> tuple[Edit, ...]:
        """All edits of the mutant."""
        return (Edit(self.file, self.old, self.new), *self.also)


RUNNER = 'router/seamhold/runner.py'
MUTANTS = (
    Mutant(
        'the state of a ticket is not checked',
        'attempts/seamhold_attempts/tickets.py',
        'if state is not TicketState.OPEN:',
        'if False:',
        'A ticketed call sent to two boxes at once',
    ),
    Mutant(
        'every claim is won',
        'attempts/seamhold_attempts/claims.py',
        'if held.owner == claim.owner:',
        'if True:',
        'The same idempotency key at two boxes at once',
    ),
    Mutant(
        'not repeatable calls are retried',
        'attempts/seamhold_attempts/retry.py',
        'return rule.repeatable and outcome',
        'return outcome',
        'An engine dies before the first token of a call that may not be repeated',
    ),
    Mutant(
        'the end marker of a stream is not required',
        'router/seamhold/runner.py',
        'if not watch.end():',
        'if False:',
        'A stream without its end marker is not passed on as complete',
    ),
    Mutant(
        'the request id of an answer is not checked',
        'router/seamhold/engines.py',
        'if headers.get(REQUEST_ID_HEADER) != request.request_id and status < 400:',
        'if False:',
        'An engine answers someone else',
    ),
    Mutant(
        'a stream is resumed from its start',
        'router/seamhold/runner.py',
        'if watch.position:',
        'if False:',
        'An engine dies in the middle of a stream that may be repeated',
    ),
    Mutant(
        'a key is not released',
        'router/seamhold/guards.py',
        'self._writer.send(\n            ReleaseClaim',
        'str(\n            ReleaseClaim',
        'A key may be used again after the engines refused',
    ),
    Mutant(
        'a disconnected caller cancels nothing',
        'router/seamhold/engines.py',
        '            self._response.close()\n        self._response.release_conn()',
        '            self._response.drain_conn()',
        'A caller disconnects in the middle of a stream',
    ),
    Mutant(
        'an outage lets keyed calls run',
        'router/seamhold/guards.py',
        'if not self._run_unclaimed:',
        'if False:',
        'The platform is down: keys are refused, tickets work',
    ),
    Mutant(
        'the load bound is not checked',
        'placement/seamhold_placement/bound.py',
        'if after.requests > calls_bound or after.tokens > tokens_bound:',
        'if False:',
        'A surge of one chat is spread',
        also=(
            Edit(
                'placement/seamhold_placement/bound.py',
                'or self._within_own_part(engine, work)',
                'or True',
            ),
        ),
    ),
    Mutant(
        'each box takes the whole limit of a workspace',
        'limits/seamhold_limits/workspaces.py',
        'return after <= min(shares[self.me], limit - others)',
        'return after <= limit',
        'A workspace that surges does not harm another workspace',
    ),
    Mutant(
        'priorities are ignored',
        'limits/seamhold_limits/queue.py',
        'return (max(0, waiting.call.priority - promoted), waiting.start, waiting.at)',
        'return waiting.at',
        'A short question passes long bundles in the queue',
    ),
    Mutant(
        'expired calls are run',
        'limits/seamhold_limits/queue.py',
        'if waiting.call.deadline <= now',
        'if False',
        'A call whose time runs out in the queue is not run',
        # The request's own thread enforces the deadline too.
        also=(
            Edit(RUNNER, 'wait = max(0.0, self._remaining(job))', 'wait = 60.0'),
            Edit(RUNNER, 'if self._remaining(job) <= 0:', 'if False:'),
            Edit(RUNNER, 'request, self._remaining(job), ', 'request, 60.0, '),
        ),
    ),
    Mutant(
        'a leaving engine is not remembered',
        'membership/seamhold_membership/engine_view.py',
        'if self._self_reports.is_leaving(engine.name, engine.incarnation):',
        'if engine.phase is Phase.LEAVING:',
        'A list that reverts does not revive a leaving engine',
    ),
    Mutant(
        'leaving engines are not reported to peers',
        'routing/seamhold_routing/exchange.py',
        'events=state.events.pending(EVENTS_PER_DIGEST),',
        'events=[],',
        'One box learns of a leaving engine, and all boxes avoid it',
    ),
    Mutant(
        'a stop does not wait',
        'router/seamhold/serve.py',
        'self._wait_unless_cut(self.config.drain_limit, until_empty=True)',
        '__import__("os")._exit(0)',
        'A box is stopped with long streams in flight',
    ),
    Mutant(
        'the latest received settings win',
        'settings/seamhold_settings/versions.py',
        'if held and candidate.revision <= held.revision:',
        'if held and candidate.revision == held.revision:',
        'The platform goes back to an older snapshot',
    ),
    Mutant(
        'a reset platform is not repaired',
        'router/seamhold/settings_follower.py',
        'self._repair(envelope.name)',
        'pass',
        'An operator edits the older snapshot before it is repaired',
    ),
    Mutant(
        'invalid settings come into force',
        'settings/seamhold_settings/schema.py',
        'forbid_unknown_fields=True',
        'forbid_unknown_fields=False',
        'An invalid object is written bypassing the checks',
    ),
    Mutant(
        'writes of settings have no condition',
        'router/seamhold/editing.py',
        'item = PlatformObject(envelope.name, envelope.to_spec(), version)',
        "item = PlatformObject(envelope.name, envelope.to_spec(), version and ' ')",
        'Two operators edit the same object at once',
    ),
    Mutant(
        'settings are not pulled from peers',
        'router/seamhold/peer_pulls.py',
        'newer = await client.pull_settings(revisions)',
        'newer = []',
        'A box starts while the platform is down',
    ),
    Mutant(
        'a request under which engines ended runs like any other',
        'router/seamhold/trials.py',
        'return bool(scopes) and identity.scope in scopes',
        'return False',
        'Copies arrive at each box in turn',
    ),
    Mutant(
        'stored quarantine cases are not read',
        'router/seamhold/case_store.py',
        'self.merge_objects(self._store.list(ObjectKind.QUARANTINE).objects)',
        'return',
        'All boxes are killed after the request is quarantined',
    ),
    Mutant(
        'two ends count as proof',
        'quarantine/seamhold_quarantine/quarantine.py',
        'if _is_proven(counted) and now < _rests_until(counted):',
        'if len(counted) >= SUSPECT_ENDS:',
        'Engines end by themselves while a harmless request runs there',
    ),
    Mutant(
        'cases that operators lift stay in force',
        'quarantine/seamhold_quarantine/case.py',
        'if end.at > self.cleared_at and explained.get(key, 0) <= len(self.ends)',
        'if explained.get(key, 0) <= len(self.ends)',
        'Operators lift the quarantine',
    ),
)


def copy_with_mutation(mutant: Mutant, folder: Path) -> list[str]:
    """Copy the packages and apply the mutant's edits; return the import paths."""
    packages = folder / 'packages'
    shutil.copytree(ROOT / 'packages', packages, ignore=shutil.ignore_patterns('__pycache__'))
    for edit in mutant.edits:
        file = packages / edit.file
        text = file.read_text(encoding='utf-8')
        if edit.old not in text:
            raise SystemExit(f'{mutant.name}: {edit.file} has changed, update the mutant')
        file.write_text(text.replace(edit.old, edit.new), encoding='utf-8')
    return [str(path) for path in sorted(packages.iterdir())]


def detects(mutant: Mutant) -> bool:
    """Whether the scenario fails with the mechanism disabled."""
    with tempfile.TemporaryDirectory() as folder:
        path = os.pathsep.join([*copy_with_mutation(mutant, Path(folder)), str(ROOT)])
        command = [sys.executable, '-m', 'behave', 'scenarios', '--format', 'progress2']
        result = subprocess.run(
            [*command, '--name', mutant.scenario],
            cwd=ROOT,
            env=dict(os.environ, PYTHONPATH=path),
            capture_output=True,
            text=True,
            timeout=RUN_SECONDS,
            check=False,
        )
    return result.returncode != 0 and any(mark in result.stdout for mark in FAILED_MARKS)


def main(names: list[str]) -> int:
    """Run all mutants, or those whose name contains one of `names`."""
    wanted = [
        mutant for mutant in MUTANTS if not names or any(name in mutant.name for name in names)
    ]
    undetected = 0
    for mutant in wanted:
        found = detects(mutant)
        undetected += not found
        print(f'{"caught" if found else "MISSED"}: {mutant.name}', flush=True)
    print(f'{len(wanted) - undetected} passed, {undetected} failed')
    return 1 if undetected else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
