#!/bin/sh
# Builds the one file that is shipped: a zipapp with all it needs.
set -eu
bin="$1"
target="$2"
mkdir -p "$(dirname "$target")" build
"$bin/pip" wheel --quiet --no-deps --no-build-isolation --wheel-dir build/wheels packages/*
"$bin/shiv" --quiet --console-script seamhold --python '/usr/bin/env python3' \
    --compressed --output-file "$target" --requirement requirements.txt build/wheels/*.whl
