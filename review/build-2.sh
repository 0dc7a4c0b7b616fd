#!/bin/sh
# Builds the stand-ins that the cases of the second review start, with the compiler of the deploy file's packages
# and nothing else, into build/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/standins-2/*.cpp; do
  "${CXX:-c++}" -std=c++20 -O2 -Wall -Wextra -pthread "$source" -o "build/review-2/$(basename "$source" .cpp)"
done
