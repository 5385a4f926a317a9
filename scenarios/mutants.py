"""Shows that the scenarios can fail: each mechanism is switched off in turn.

`python -m scenarios.mutants` copies the packages, breaks one line in the
copy, and runs the scenario that must notice.  Leaves with 1 if one does not.
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
#: How behave shows a step that failed, or that waited in vain.
FAILED_MARKS = ('FAILURE in step', 'FleetError: waited')


@dataclass(frozen=True)
class Edit:
    """One text of a file and what takes its place."""

    file: str
    old: str
    new: str


@dataclass(frozen=True)
class Mutant:
    """One mechanism switched off, and the scenario that must fail for it."""

    name: str
    file: str
    old: str
    new: str
    scenario: str
    also: tuple[Edit, ...] = ()

    @property
    def edits(self) -> tuple[Edit, ...]:
        """All that is changed."""
        return (Edit(self.file, self.old, self.new), *self.also)


RUNNER = 'router/seamhold/runner.py'
MUTANTS = (
    Mutant(
        'a used ticket is not looked at',
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
        'the end of a stream is not looked for',
        'router/seamhold/runner.py',
        'if not watch.end():',
        'if False:',
        'A stream that ends without its end is not passed on as whole',
    ),
    Mutant(
        'the id of an answer is not looked at',
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
        'a key is not given back',
        'router/seamhold/guards.py',
        'self._writer.send(\n            ReleaseClaim',
        'str(\n            ReleaseClaim',
        'A key may be used again after the engines refused',
    ),
    Mutant(
        'a caller that leaves cancels nothing',
        'router/seamhold/engines.py',
        '            self._response.close()\n        self._response.release_conn()',
        '            self._response.drain_conn()',
        'A caller leaves in the middle of a stream',
    ),
    Mutant(
        'an outage lets keyed calls run',
        'router/seamhold/guards.py',
        'if not self._run_unclaimed:',
        'if False:',
        'The platform is out: keys are refused, tickets work',
    ),
    Mutant(
        'the load bound is not looked at',
        'placement/seamhold_placement/bound.py',
        'if after.requests > calls_bound or after.tokens > tokens_bound:',
        'if False:',
        'A rush of one chat is spread',
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
        'A workspace that surges does not harm its neighbour',
    ),
    Mutant(
        'priorities are not looked at',
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
        # The request's own thread keeps the deadline too.
        also=(
            Edit(RUNNER, 'wait = max(0.0, self._remaining(job))', 'wait = 60.0'),
            Edit(RUNNER, 'if self._remaining(job) <= 0:', 'if False:'),
            Edit(RUNNER, 'request, self._remaining(job), ', 'request, 60.0, '),
        ),
    ),
    Mutant(
        'an engine that leaves is not remembered',
        'membership/seamhold_membership/engine_view.py',
        'if self._leaving.get(engine.name) == engine.incarnation:',
        'if engine.phase is Phase.LEAVING:',
        'A list that goes back does not bring a leaving engine back',
    ),
    Mutant(
        'peers are not told of leaving engines',
        'routing/seamhold_routing/exchange.py',
        'events=state.events.pending(EVENTS_PER_DIGEST),',
        'events=[],',
        'One box meets a leaving engine, and all boxes stay away',
    ),
    Mutant(
        'a stop does not wait',
        'router/seamhold/serve.py',
        'self._wait_unless_cut(self.config.drain_limit, until_empty=True)',
        '__import__("os")._exit(0)',
        'A box is stopped with long streams in flight',
    ),
    Mutant(
        'the latest news of settings wins',
        'settings/seamhold_settings/versions.py',
        'if held and candidate.revision <= held.revision:',
        'if held and candidate.revision == held.revision:',
        'The platform goes back to an older copy',
    ),
    Mutant(
        'a reset platform is not mended',
        'router/seamhold/settings_follower.py',
        'self._repair(envelope.name)',
        'pass',
        'An operator edits the older copy before it is mended',
    ),
    Mutant(
        'invalid settings come into force',
        'settings/seamhold_settings/schema.py',
        'forbid_unknown_fields=True',
        'forbid_unknown_fields=False',
        'An invalid object is written past the checks',
    ),
    Mutant(
        'writes of settings have no condition',
        'router/seamhold/editing.py',
        'item = PlatformObject(envelope.name, envelope.to_spec(), version)',
        "item = PlatformObject(envelope.name, envelope.to_spec(), version and ' ')",
        'Two operators edit the same object at once',
    ),
    Mutant(
        'settings do not come from peers',
        'router/seamhold/peer_pulls.py',
        'newer = await client.pull_settings(revisions)',
        'newer = []',
        'A box starts while the platform is out',
    ),
    Mutant(
        'what engines ended under runs like any other',
        'router/seamhold/trials.py',
        'return bool(scopes) and identity.scope in scopes',
        'return False',
        'It comes at each box in turn',
    ),
    Mutant(
        'what the store keeps of it is not read',
        'router/seamhold/case_store.py',
        'self.merge_objects(self._store.list(ObjectKind.QUARANTINE).objects)',
        'return',
        'All boxes are gone after it is known',
    ),
    Mutant(
        'two ends are proof',
        'quarantine/seamhold_quarantine/quarantine.py',
        'if _is_proven(counted) and now < _rests_until(counted):',
        'if len(counted) >= SUSPECT_ENDS:',
        'Engines end by themselves while a harmless request runs there',
    ),
    Mutant(
        'what operators lift stays',
        'quarantine/seamhold_quarantine/case.py',
        'if end.at > self.cleared_at and explained.get(key, 0) <= len(self.ends)',
        'if explained.get(key, 0) <= len(self.ends)',
        'Operators lift it',
    ),
)


def break_copy(mutant: Mutant, folder: Path) -> list[str]:
    """Copy the packages with one mechanism off; the path to import from."""
    packages = folder / 'packages'
    shutil.copytree(ROOT / 'packages', packages, ignore=shutil.ignore_patterns('__pycache__'))
    for edit in mutant.edits:
        file = packages / edit.file
        text = file.read_text(encoding='utf-8')
        if edit.old not in text:
            raise SystemExit(f'{mutant.name}: {edit.file} has changed, mend the mutant')
        file.write_text(text.replace(edit.old, edit.new), encoding='utf-8')
    return [str(path) for path in sorted(packages.iterdir())]


def caught(mutant: Mutant) -> bool:
    """Whether the scenario fails with the mechanism off."""
    with tempfile.TemporaryDirectory() as folder:
        path = os.pathsep.join([*break_copy(mutant, Path(folder)), str(ROOT)])
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
    """Try all mutants, or those whose name holds one of `names`."""
    wanted = [
        mutant for mutant in MUTANTS if not names or any(name in mutant.name for name in names)
    ]
    missed = 0
    for mutant in wanted:
        found = caught(mutant)
        missed += not found
        print(f'{"caught" if found else "MISSED"}: {mutant.name}', flush=True)
    print(f'{len(wanted) - missed} passed, {missed} failed')
    return 1 if missed else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
