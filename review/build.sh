#!/usr/bin/env bash
# Builds the stand-in of the review's cases, a test binary. The gateways are built as
# deploy/system.toml says.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -tags review -o target/review-standin ./review/standin
