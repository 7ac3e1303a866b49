#!/bin/sh
# Builds the stand-ins that the scripts under review/ start. Run it in the root of the repository,
# after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/review-standin ./review/standin
