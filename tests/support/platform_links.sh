#!/bin/sh
# Checks that the program, built without gossip as operators build it, links none of gossip's libraries:
# platform_links.sh SOURCE [PROGRAM]. Builds the program if none is given.
set -eu
source=$1
program=${2:-}
if [ -z "$program" ]; then
  build=$(mktemp -d)
  trap 'rm -rf "$build"' EXIT
  cmake -S "$source" -B "$build" -DCMAKE_BUILD_TYPE=Release -DMOTHRACK_TESTS=OFF >/dev/null
  cmake --build "$build" -j4 --target mothrack >/dev/null
  program=$build/mothrack
fi
libraries=$(ldd "$program")
if echo "$libraries" | grep -E 'protobuf|sodium|spdlog|libfmt|xxhash'; then
  echo "$program links libraries that only gossip needs" >&2
  exit 1
fi
# It must reject the section [peers], too.
file=$(mktemp)
printf '[peers]\nlisten = "127.0.0.1:7600"\n' >"$file"
output=$("$program" check "$file" 2>&1) && { echo "$program accepts [peers]" >&2; rm "$file"; exit 1; }
rm "$file"
echo "$output" | grep -q 'built without peers; build it with -DMOTHRACK_PEERS=ON' || { echo "$output" >&2; exit 1; }
