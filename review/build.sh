#!/bin/sh
# The stand-ins are plain modules for Node.js and need no build; this checks that they can be read.
set -e
cd "$(dirname "$0")"
for file in parts.mjs */run.mjs; do node --check "$file"; done
