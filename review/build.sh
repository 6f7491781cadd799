#!/usr/bin/env bash
# Builds the stand-ins of the review. Run it after the build command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin"
go build -o ../bin/standin .
