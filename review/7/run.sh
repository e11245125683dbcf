#!/bin/sh
# Plays the case and writes record.txt. Exits with 1 if the rule was broken, 0 if it held, and 2 if it couldn't run.
# TROUBLE=0 leaves the disruption out. Before it: the build of the deploy file, and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2 ] && [ -x target/capersaddle ] || exit 2
exec target/review-2 records review/7/record.txt
