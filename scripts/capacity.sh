#!/usr/bin/env bash
# Measures the slopes again and rewrites the tables of docs/CAPACITY.md between
# its two markers. Run it on an otherwise idle machine.
#   scripts/capacity.sh [BUILD_DIR]
set -euo pipefail
cd "$(dirname "$0")/.."
build="${1:-build}"
scripts/build.sh "$build" >/dev/null
tables=$(mktemp)
trap 'rm -f "$tables"' EXIT
"$build/src/bench/capacity" >"$tables"
sed -i -e '/^<!-- tables begin -->/,/^<!-- tables end -->/{//!d}' docs/CAPACITY.md
sed -i -e "/^<!-- tables begin -->/r $tables" docs/CAPACITY.md
echo "docs/CAPACITY.md rewritten"
