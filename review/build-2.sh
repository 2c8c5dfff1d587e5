#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 into target/review-2/. They use the standard
# library only. The project's own program is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/rig-2"
mkdir -p ../../target/review-2
go build -o ../../target/review-2/rig .
