#!/bin/sh
# Fails where a source is not as .clang-format says, or where the linter (.clang-tidy) finds anything in a package that
# is done: lint.sh BUILD, a build's folder with compile_commands.json. Still to come is agent: its
# findings stand in docs/ROADMAP.md.
set -eu
cd "$(dirname "$0")/.."
build=$1
packages="admin admin_client balancer change_freeze ctl discovery dispatch dns gossip hash_ring hot_restart http rollout runtime sidecar simulation simulator_adapter zone_failover"
[ -f "$build/compile_commands.json" ] || { echo "$build has no compile_commands.json; configure it with -DMOTHRACK_TESTS=ON" >&2; exit 1; }
git ls-files '*.h' '*.cpp' | xargs clang-format --dry-run -Werror
for package in $packages; do
  ls src/"$package"/*.cpp
done | xargs -P "$(nproc)" -n 1 clang-tidy -p "$build" --quiet
