#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review/standin ] || [ ! -x target/release/auburnlug ]; then
    echo "build the deploy file's program and run review/build.sh first"
    exit 2
fi
exec target/review/standin line-feed review/5/record.txt
