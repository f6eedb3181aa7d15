#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/review/standin ] || exit 2
case "${TROUBLE:-1}" in
    0) disruption=without ;;
    *) disruption=with ;;
esac
exec target/review/standin late-heartbeats "$disruption" "$folder/record.txt"
