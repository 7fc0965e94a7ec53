#!/bin/sh
# Builds the project's stand-ins, from which all cases start their targets, store and fleets.
set -eu
cd "$(dirname "$0")/.."
node node_modules/typescript/bin/tsc -b
