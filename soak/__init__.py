"""A fault soak test: real processes, random faults, checked invariants.

`python -m soak --seed 7` does one run.  Callers send calls throughout the run.
Processes are killed, stopped, frozen and restarted; a proxy on loopback delays,
resets or blocks connections in one or both directions.  The records of callers
and engines are then checked against the invariants.
"""
