#!/usr/bin/env bash
# Runs the case. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0: without the disruption. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
program=review/standins-2/bin/case-10
[ -x "$program" ] && [ -x target/cornelshed-gatewayd ] || exit 2
timeout -k 2 117 "$program" review/10/record.txt
status=$?
[ $status -le 1 ] && exit $status
exit 2
