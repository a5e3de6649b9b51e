#!/usr/bin/env bash
# Builds the stand-ins and drivers that the scripts of the cases start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/standin ./review/_standin
