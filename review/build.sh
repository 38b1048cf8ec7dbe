#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/review. Needs the packages of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++17 -O1 -Wall -Wextra -pthread "$source" -o "target/review/case-$number" &
done
wait
for source in review/*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  test -x "target/review/case-$number"
done
