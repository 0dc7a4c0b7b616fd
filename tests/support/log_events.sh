#!/bin/sh
# Checks that docs/operators/logs.md lists every event that the sources log, with its level and keys, and no
# other event. Also checks that the page has the texts that are logged through Logger::FreeText(). Usage:
# log_events.sh SOURCE
set -eu
source=$1
page=$source/docs/operators/logs.md
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
fail() {
  echo "$1" >&2
  exit 1
}

# Writes the sources with one file per line, so that calls are found although the formatter broke them into
# lines.
find "$source/src" -name '*.h' -o -name '*.cpp' | sort | while read -r file; do
  tr '\n' ' ' <"$file" | tr -s ' '
  echo
done >"$work/sources"

# Writes one line per event, as `event level key key`. A field is {"key", value}, and no value has braces.
calls='(Error|Warn|Info|Write)\( ?(Level::k[A-Za-z]+, )?"[a-z0-9_]+"(, ?\{ ?(\{"[a-z0-9_]+", [^{}]*\},? ?)+\})?'
grep -oE "$calls" "$work/sources" | sed -E 's/^Write\( ?Level::k(Error|Warn|Info)(ing)?, /\1(/' |
  sed -E 's/^Error/error/; s/^Warn/warning/; s/^Info/info/; s/^([a-z]+)\( ?"([a-z0-9_]+)"/\2 \1/; s/, ?\{ ?\{/ {{/' |
  sed -E 's/\{"([a-z0-9_]+)", [^{}]*\},? ?/ \1 /g; s/[{}]/ /g; s/ +/ /g; s/ $//' | sort -u >"$work/logged"

# Checks that each call of the logger names its event by a literal, which the pattern above needs.
grep -oE '(log|log_|log\(\))(\.|->)(Error|Warn|Info)\(' "$work/sources" | wc -l >"$work/calls"
grep -oE '(log|log_|log\(\))(\.|->)(Error|Warn|Info)\( ?"[a-z0-9_]+"' "$work/sources" | wc -l >"$work/named"
cmp -s "$work/calls" "$work/named" || fail "an event name is not a literal at its call: $(cat "$work/calls") calls, $(cat "$work/named") with a literal"

sed -n '/^## Events/,/^## /p' "$page" | grep -E '^\| `' | tr -d '`,' |
  awk -F'|' '{ gsub(/ +/, " ", $0); print $2 $3 $4 }' | sed -E 's/ +/ /g; s/^ //; s/ $//' | sort >"$work/page"
[ "$(wc -l <"$work/logged")" -gt 20 ] || fail "too few events found in the sources"
diff "$work/page" "$work/logged" || fail "docs/operators/logs.md (<) and the sources (>) differ"

# Checks that each literal that is passed to Logger::FreeText() is on the page.
grep -oE '(\.|->)FreeText\([^;]*;' "$work/sources" | grep -oE '"[^"]{4,}"' | tr -d '"' >"$work/free_text"
[ "$(wc -l <"$work/free_text")" -gt 5 ] || fail "too few texts of Logger::FreeText() found in the sources"
while read -r words; do
  grep -qF -- "$words" "$page" || fail "docs/operators/logs.md does not have the line \"$words\""
done <"$work/free_text"
