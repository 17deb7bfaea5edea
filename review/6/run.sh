#!/usr/bin/env bash
# Plays the case on the built program. Exit code: 1 if the rule was broken, 0 if it held, 2 if it could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -f target/RouterMain.cjs ] || { echo "The build of the deploy file is missing."; exit 2; }
exec node "review/6/case.mjs"
