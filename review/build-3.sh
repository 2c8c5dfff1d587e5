#!/bin/sh
# Builds the stand-ins and the cases of the third review into target/review-3.
set -e
cd "$(dirname "$0")/harness-3"
mkdir -p ../../target
go build -o ../../target/review-3 .
