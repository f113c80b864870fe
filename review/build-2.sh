#!/usr/bin/env bash
# The stand-ins of the cases 4, 6 and 7 are plain modules in review/lib-2, which need no build: only checks that they parse.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs; do node --check "$file"; done
