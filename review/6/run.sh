#!/bin/sh
# The operator evacuates a hall while the store turns a third of its gateways away.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves out the turning away.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/lanedeck ] && [ -x target/review-2/standin-3 ] || exit 2
folder=$(mktemp -d) || exit 2
target/review-2/standin-3 evacuation "$folder" review/6/record.txt
code=$?
rm -rf "$folder"
exit $code
