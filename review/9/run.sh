#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
cd "$root" || exit 2
[ -x target/review-2/standin ] && [ -x target/release/auburnlug ] || exit 2
exec timeout -k 5 110 target/review-2/standin grown-config target/release/auburnlug "$here/record.txt"
