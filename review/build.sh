#!/usr/bin/env bash
# Builds the stand-ins of the cases; the deploy file's build comes first.
set -euo pipefail
cd "$(dirname "$0")/standins"
GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/review .
