#!/usr/bin/env bash
# Builds the stand-in of the review's cases. The gateways are built as deploy/system.toml says.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-standin ./review/standin
