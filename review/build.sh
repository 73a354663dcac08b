#!/usr/bin/env bash
# Builds what the scripts start besides the program of the deploy file. The
# stand-ins in common/ are plain JavaScript for Node.js, so this only checks
# that they and the scripts parse, and that the program was built.
set -euo pipefail
cd "$(dirname "$0")"
for file in common/*.mjs */run.mjs; do node --check "$file"; done
test -f ../target/trefoildoor-entry.mjs
