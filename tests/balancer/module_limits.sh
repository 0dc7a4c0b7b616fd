#!/bin/sh
# Fails if a file of the decision module (src/balancer) is too long or has too long lines. Also fails if the
# list `policy` in the operators' file (deploy/balancer.toml) does not name every file that takes decisions,
# or names a file that does not exist. Usage: module_limits.sh SRC_BALANCER BALANCER_TOML
set -eu
module=$1
operators_file=$2
max_lines=500          # of any file
max_routing_lines=300  # of balancer.cpp, which only passes events to the other files
max_columns=110
# These files are the interface and the validation of the settings. They take no decisions about requests.
interface="actions.h balancer.h events.h settings.cpp settings.h types.h"

failed=0
fail() {
  echo "$1" >&2
  failed=1
}

policy=$(sed -n '/^policy = \[/,/\]/p' "$operators_file")
for file in "$module"/*.cpp "$module"/*.h; do
  name=$(basename "$file")
  lines=$(wc -l < "$file")
  max=$max_lines
  [ "$name" != balancer.cpp ] || max=$max_routing_lines
  [ "$lines" -le "$max" ] || fail "$name: $lines lines, at most $max are allowed"
  wide=$(awk -v max="$max_columns" 'length($0) > max' "$file" | wc -l)
  [ "$wide" -eq 0 ] || fail "$name: $wide lines wider than $max_columns columns"
  case " $interface " in *" $name "*) continue ;; esac
  case "$policy" in
    *"\"src/balancer/$name\""*) ;;
    *) fail "$name: not in the list policy of $operators_file" ;;
  esac
done
# Every named file must exist.
for named in $(echo "$policy" | grep -o '"src/balancer/[^"]*"' | tr -d '"'); do
  [ -f "$module/$(basename "$named")" ] || fail "$named: in the list policy of $operators_file, but does not exist"
done
exit "$failed"
