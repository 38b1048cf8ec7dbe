#!/usr/bin/env bash
# Builds the programs of the scripted cases of this review, with the project's
# stand-ins, into build-review-3/. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-3
compilers=()
for source in review/1[1-5]/case.cpp; do
  number="$(basename "$(dirname "$source")")"
  "${CXX:-c++}" -std=c++17 -O1 "$source" -o "build-review-3/case-$number" -pthread &
  compilers+=("$!")
done
for compiler in "${compilers[@]}"; do
  wait "$compiler"
done
