#!/usr/bin/env bash
# Checks every source file with clang-format and clang-tidy. Needs a configured
# build directory, whose compile commands clang-tidy reads.
#   scripts/lint.sh [BUILD_DIR]
set -euo pipefail
cd "$(dirname "$0")/.."
build="${1:-build}"
git ls-files '*.cpp' '*.h' | xargs clang-format --dry-run --Werror
git ls-files '*.cpp' | xargs -P "$(nproc)" -n 1 clang-tidy -p "$build" --quiet 2>"$build/tidy.log"
echo "lint: clean"
