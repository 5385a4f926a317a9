#!/bin/sh
# Puts the pinned libraries and this project's own packages below target/deps.
set -eu
deps=target/deps
pins=target/requirements.installed
install="python3 -m pip install --quiet --disable-pip-version-check --target $deps"
if ! cmp -s deploy/requirements.txt "$pins"; then
    rm -rf "$deps"
    $install --requirement deploy/requirements.txt
    cp deploy/requirements.txt "$pins"
fi
rm -rf "$deps"/seamhold "$deps"/seamhold_* "$deps"/seamhold-*
# Only the dialect is found by its metadata; the others are plain packages.
for package in packages/*/seamhold*; do
    cp -R "$package" "$deps/"
done
$install --no-deps ./platform
python3 -m compileall -q "$deps"
