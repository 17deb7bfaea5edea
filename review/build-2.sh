#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 are plain modules of Node.js in review/standins-2 and review/standins-3 and need no
# build.
set -e
cd "$(dirname "$0")/.."
for file in review/standins-2/*.mjs review/standins-3/*.mjs review/6/*.mjs review/7/*.mjs review/8/*.mjs review/9/*.mjs review/10/*.mjs; do
  node --check "$file"
done
