#!/bin/sh
# Builds the stand-ins of the second review, after the build of the deploy file. Run it at the repository's root.
set -e
cd "$(dirname "$0")/.."
go test -c -tags review2 -o target/review-2 ./review/standin-2
