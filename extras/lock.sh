#!/bin/sh
# Locks the requirements to versions, without the address of any index.
set -eu
bin="$1"
"$bin/pip" install --quiet pip-tools
for name in requirements requirements-dev; do
    "$bin/pip-compile" --quiet --strip-extras --allow-unsafe --no-header \
        --no-emit-options --no-emit-index-url --no-emit-find-links \
        --no-emit-trusted-host --output-file "$name.txt" "$name.in"
done
