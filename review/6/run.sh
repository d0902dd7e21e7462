#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 the disruption is left out.
TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/silversaild target/review-2/standin; do
    [ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
exec target/review-2/standin tenant "$TROUBLE" review/6/record.txt
