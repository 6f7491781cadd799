#!/usr/bin/env bash
# Builds the stand-in that the scripts of the second review start. It is a module of its own without dependencies.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
go build -o ../../target/review-standin-2 .
