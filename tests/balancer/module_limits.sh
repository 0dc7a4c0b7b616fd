#!/bin/sh
# Fails where the module outgrows the printed page: module_limits.sh FILE
set -eu
lines=$(grep -c '[^[:space:]]' "$1")
wide=$(awk 'length($0) > 110' "$1" | wc -l)
echo "$1: $lines lines that are not blank (1200 at most), $wide wider than 110 columns"
[ "$lines" -le 1200 ] && [ "$wide" -eq 0 ]
