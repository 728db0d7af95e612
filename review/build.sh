#!/bin/sh
# The stand-ins of the cases are plain .mjs files that need no build; this checks that Node can read each of them.
set -e
cd "$(dirname "$0")"
for file in harness/*.mjs */run.mjs; do
  [ -e "$file" ] && node --check "$file"
done
echo "the stand-ins are ready"
