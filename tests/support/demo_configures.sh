#!/bin/sh
# Checks that demo/run.sh's CMake options configure successfully in an empty build tree: demo_configures.sh SOURCE
set -eu
build=$(mktemp -d)
trap 'rm -rf "$build"' EXIT
options=$(sed -n 's/^cmake -B build-demo \(.*\) > .*$/\1/p' "$1/demo/run.sh")
[ -n "$options" ] || { echo "demo/run.sh has no line \"cmake -B build-demo OPTIONS > ...\"" >&2; exit 1; }
# shellcheck disable=SC2086  # one word per option
cmake -S "$1" -B "$build" $options
