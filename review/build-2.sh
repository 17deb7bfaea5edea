#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 are plain modules of Node.js in review/standins-2 and need no build.
set -e
cd "$(dirname "$0")/.."
for file in review/standins-2/*.mjs; do
  node --check "$file"
done
