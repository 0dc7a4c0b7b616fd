#!/bin/sh
# Fails if a source file is not formatted as .clang-format says, or if clang-tidy reports anything in src:
# lint.sh BUILD. BUILD is the directory of a build with tests; the linter reads its compile_commands.json and
# generated headers.
set -eu
cd "$(dirname "$0")/.."
build=$1
[ -f "$build/compile_commands.json" ] || { echo "$build has no compile_commands.json; configure it with -DMOTHRACK_TESTS=ON" >&2; exit 1; }
git ls-files '*.h' '*.cpp' | xargs clang-format --dry-run -Werror
git ls-files 'src/*.cpp' | xargs -P "$(nproc)" -n 1 clang-tidy -p "$build" --quiet
