#!/usr/bin/env bash
# Builds the stand-ins of the review's cases. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/standin
