#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0
# the same is played without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review/standin ] || [ ! -x target/release/auburnlug ]; then
    echo "build the deploy file's program and run review/build.sh first"
    exit 2
fi
export TROUBLE="${TROUBLE:-1}"
exec target/review/standin departed-replica review/1/record.txt
