#!/bin/sh
# Tests the adapter's process with valid input, invalid input and the end of input: adapter_process.sh PROGRAM
set -eu
program=$1

reply=$(printf '{"Clock":5,"news":[]}\n' | "$program")
[ "$reply" = '{"cmds":[]}' ] || { echo "unexpected reply: $reply"; exit 1; }

# must_reject NAME LINE: the program must exit with status 1 and print one line on standard error that contains NAME.
must_reject() {
  status=0
  error=$(printf '%s\n' "$2" | "$program" 2>&1 >/dev/null) || status=$?
  [ "$status" -eq 1 ] || { echo "exit status $status for $2"; exit 1; }
  [ "$(printf '%s\n' "$error" | wc -l)" -eq 1 ] || { echo "not one line: $error"; exit 1; }
  case $error in
    *"$1"*) ;;
    *) echo "no '$1' in: $error"; exit 1 ;;
  esac
}
must_reject batch 'hello'
must_reject batch '[]'
must_reject Clock '{"news":[]}'
must_reject news '{"Clock":5}'
must_reject event_type '{"Clock":5,"news":[{"I":0}]}'
must_reject Launch '{"Clock":5,"news":[{"event_type":"Launch","I":0,"Seed":1}]}'
must_reject Items '{"Clock":5,"news":[{"event_type":"Census","RosterId":0}]}'
