#!/usr/bin/env bash
# Builds the stand-ins of the second review. The daemon is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-cluster ./review/_standin-2
