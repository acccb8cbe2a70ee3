#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0
# the disruption is left out.
number=$(basename "$(cd "$(dirname "$0")" && pwd)")
cd "$(dirname "$0")/../.." || exit 2
for program in target/cornelshed-gatewayd target/cornelshed-admitd "target/review/case$number"; do
    [ -x "$program" ] || { echo "$program is missing" >&2; exit 2; }
done
exec "target/review/case$number" "review/$number"
