#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review2 -o target/review2-stand-in ./review/standin-2
