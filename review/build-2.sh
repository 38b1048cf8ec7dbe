#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 into target/review-2/. Each contains
# the stand-ins of the platform that it needs.
set -euo pipefail
cd "$(dirname "$0")/.."
for source in review/{6,7,8,9,10}/case.cpp; do
  [ -e "$source" ] || continue
  number="$(basename "$(dirname "$source")")"
  mkdir -p "target/review-2/$number"
  "${CXX:-c++}" -std=c++17 -O1 -pthread "$source" \
    -o "target/review-2/$number/case"
done
