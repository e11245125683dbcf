#!/usr/bin/env bash
# Plays the case "resume" (review/standin/resume_test.go says what it sends, disturbs and checks) and writes
# record.txt beside this script. TROUBLE=0 leaves the disturbance out.
# Exit code: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/capersaddle ] || { echo "build target/capersaddle first, as deploy/system.toml says" >&2; exit 2; }
[ -x target/review-standin ] || bash review/build.sh || exit 2
exec target/review-standin resume review/3
