#!/usr/bin/env bash
# Runs the capacity benchmark and replaces the tables between the two markers of
# docs/CAPACITY.md. Run it on an otherwise idle machine, as other load distorts
# the times.
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
