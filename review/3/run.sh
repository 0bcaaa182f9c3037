#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
number=$(basename "$(dirname "$0")")
[ -f target/sidecar.cjs ] && [ -f "target/review/case-$number.mjs" ] || exit 2
CASE_FOLDER="review/$number" exec node "target/review/case-$number.mjs"
