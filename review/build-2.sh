#!/bin/bash
# Builds what the scripts of the cases 6 to 10 start. They use the product as the deploy file builds it, and stand-ins of
# their own in plain JavaScript (parts-2.mjs, platform-2.mjs), which need no build; here they are only checked.
set -e
cd "$(dirname "$0")/.."
test -f target/claynotch.mjs || node tools/bundle.js
for file in review/parts-2.mjs review/platform-2.mjs review/6/case.mjs review/7/case.mjs review/8/case.mjs review/9/case.mjs review/10/case.mjs; do
  node --check "$file"
done
