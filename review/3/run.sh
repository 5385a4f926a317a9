#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 plays it without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -d "$root/target/deps" ] || { echo 'build first: sh deploy/build.sh' >&2; exit 2; }
PYTHONPATH="$root/target/deps:$root/platform:$root/standins:$root/review"
export PYTHONPATH PYTHONDONTWRITEBYTECODE=1
exec python3 -S "$here/case.py"
