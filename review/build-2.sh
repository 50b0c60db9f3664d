#!/usr/bin/env bash
# Builds the program that plays the cases 4 to 6. It contains every stand-in that they start: the
# store (platform/standin), workers and clients. The daemon comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-cases2 ./review/_cases2
