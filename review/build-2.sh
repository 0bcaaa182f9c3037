#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are plain modules of Node.js
# without dependencies, so that checking them is all there is to do.
set -euo pipefail
cd "$(dirname "$0")"
for file in support-2/*.mjs {6..10}/*.mjs; do
  [ ! -e "$file" ] || node --check "$file"
done
