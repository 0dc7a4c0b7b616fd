#!/bin/sh
# Builds the stand-ins of all cases into build/review, with the compiler that the deploy file's packages bring.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review
for source in review/[123]/*.cpp; do
  [ -e "$source" ] || continue
  program=build/review/$(basename "$source" .cpp)
  "${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra -pthread "$source" -o "$program"
done
