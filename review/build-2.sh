#!/bin/sh
# Builds the stand-ins that the scripts of the cases 4 to 8 start.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-world ./review/_world
