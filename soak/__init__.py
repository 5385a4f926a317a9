"""A fault soak: real processes, random faults from outside, promises checked.

`python -m soak --seed 7` plays one run.  Callers send calls all the while;
processes are killed, stopped, frozen and restarted; connections are delayed,
reset, cut one way or silenced by a proxy on loopback.  What callers and
engines saw is held against the promises.
"""
