#!/bin/sh
# Builds the stand-ins of the cases into target/, beside what the deploy file builds there.
set -e
cd "$(dirname "$0")/.."
go test -c -tags review -o target/review.test ./review
