#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case ] && [ -x target/release/chicorycroft-gateway ] || exit 2
target/review-2/case grey-refusal review/6
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
