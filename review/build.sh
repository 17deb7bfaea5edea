#!/usr/bin/env bash
# The stand-ins of the cases are plain scripts for Node.js without dependencies. This checks that each can be read.
set -eu
cd "$(dirname "$0")"
for file in standins/*.mjs [1-5]/*.mjs; do node --check "$file"; done
[ -f ../target/RouterMain.cjs ] || { echo "Build the deploy file first." >&2; exit 1; }
