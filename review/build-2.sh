#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 and up, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/stage2
