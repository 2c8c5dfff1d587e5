#!/bin/sh
# Builds what the scripts of the cases start. The system itself is built before, with the
# build line of deploy/system.toml.
set -e
cd "$(dirname "$0")/harness"
GOWORK=off go build -o ../../target/review-harness .
