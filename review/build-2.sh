#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts, after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -trimpath -o target/ ./review/standin-2
