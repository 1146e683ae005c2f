#!/usr/bin/env bash
# Builds the stand-ins that the cases' scripts start. The service itself is built as the deploy file says.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/_standin
