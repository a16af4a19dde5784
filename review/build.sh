#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-lab ./review/_lab
