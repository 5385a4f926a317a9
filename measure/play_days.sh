#!/bin/sh
# Runs every day of deploy/days on a site and prints the result of each.
#   sh measure/play_days.sh BENCH SITE [OPTION ...]     BENCH: the users' program
# A day that needs contracts that the site does not have is skipped with a message.
set -eu
bench="$1"
site="$2"
shift 2
for day in "$(dirname "$0")"/../deploy/days/*.toml; do
    report="$("$bench" run "$site" "$day" --why "own day $(basename "$day")" "$@" 2>&1)" || true
    echo "== $(basename "$day" .toml)"
    echo "$report" | grep -E '^own-|^rules broken|is not open' || echo "$report" | tail -3
done
