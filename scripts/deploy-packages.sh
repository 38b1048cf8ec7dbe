#!/usr/bin/env bash
# Prints the Debian packages that the build of the deploy file needs, a line each.
set -euo pipefail
cd "$(dirname "$0")/.."
sed -n '/^packages = \[/,/^\]/p' deploy/system.toml | grep -o '"[^"]*"' | tr -d '"'
