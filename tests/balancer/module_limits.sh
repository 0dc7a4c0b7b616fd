#!/bin/sh
# Fails where a file of the decision module outgrows what is read at one sitting, or where `policy` in the
# operators' file does not name every file that decides: module_limits.sh SRC_BALANCER BALANCER_TOML
set -eu
module=$1
operators_file=$2
most_lines=500        # of any file
most_routing_lines=300  # of balancer.cpp, which only routes
most_columns=110
# The interface and the check of its settings: these decide nothing about requests.
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
  most=$most_lines
  [ "$name" != balancer.cpp ] || most=$most_routing_lines
  [ "$lines" -le "$most" ] || fail "$name: $lines lines, $most at most"
  wide=$(awk -v most="$most_columns" 'length($0) > most' "$file" | wc -l)
  [ "$wide" -eq 0 ] || fail "$name: $wide lines wider than $most_columns columns"
  case " $interface " in *" $name "*) continue ;; esac
  case "$policy" in
    *"\"src/balancer/$name\""*) ;;
    *) fail "$name: not named by policy in $operators_file" ;;
  esac
done
# What is named must be there.
for named in $(echo "$policy" | grep -o '"src/balancer/[^"]*"' | tr -d '"'); do
  [ -f "$module/$(basename "$named")" ] || fail "$named: named by policy and not there"
done
exit "$failed"
