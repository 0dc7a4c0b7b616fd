#!/bin/sh
# Runs the case once, after the deploy file's build and review/build-2.sh. Exit code: 1 the rule was broken, 0 it
# held, 2 the case could not run. TROUBLE=0 leaves out the disruption. What was seen goes to record.txt.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
[ -n "$run" ] && [ -x build/mothrack ] && [ -x build/review-2/long_answer ] || exit 2
folder=$(mktemp -d) || exit 2
timeout -k 2 115 build/review-2/long_answer "$run" "$folder" "$here/record.txt" &
program=$!
# A script that is ended ends what it started; the sidecar dies with the program that started it.
trap 'kill "$program" 2> /dev/null; wait "$program"; exit 2' INT TERM HUP
trap 'rm -rf "$folder"' EXIT
wait "$program"
verdict=$?
[ "$verdict" -le 1 ] || exit 2
exit "$verdict"
