#!/usr/bin/env bash
# Builds what the scripts of the review run: the daemon as the deploy file builds it, the
# project's stand-ins, and the review's own program, which has stand-ins of workers and clients.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/rushrampd
go build -o bin/ ./cmd/rushramp-standin
go build -o bin/review-world ./review/_world
