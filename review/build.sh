#!/usr/bin/env bash
# Builds what the scripts of the cases start besides the programs of the deploy file: the project's store stand-in.
set -euo pipefail
cd "$(dirname "$0")/.."
npm run --silent compile
