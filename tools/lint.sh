#!/bin/sh
# Fails where a source is not as .clang-format says, or where the linter (.clang-tidy) finds anything in src:
# lint.sh BUILD, the folder of a build with tests, whose compile_commands.json and generated headers the linter reads.
set -eu
cd "$(dirname "$0")/.."
build=$1
[ -f "$build/compile_commands.json" ] || { echo "$build has no compile_commands.json; configure it with -DMOTHRACK_TESTS=ON" >&2; exit 1; }
git ls-files '*.h' '*.cpp' | xargs clang-format --dry-run -Werror
git ls-files 'src/*.cpp' | xargs -P "$(nproc)" -n 1 clang-tidy -p "$build" --quiet
