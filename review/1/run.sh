#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program=$root/build/review/stalled_uploads
[ -x "$program" ] && [ -x "$root/build/mothrack" ] || { echo "run the deploy file's build and review/build.sh"; exit 2; }
directory=$(mktemp -d) || exit 2
mkdir "$directory/tmp"
trap 'rm -rf "$directory"' EXIT
timeout -k 5 110 "$program" "$root" "$here/record.txt" "$directory" "${TROUBLE:-1}"
code=$?
[ $code -le 2 ] || code=2
exit $code
