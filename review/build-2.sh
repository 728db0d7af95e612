#!/bin/bash
# Builds the stand-ins of the cases 6 to 10. They are plain modules that need no build; this checks that they load.
cd "$(dirname "$0")" || exit 1
for file in common-2/*.mjs; do
  node --check "$file" || exit 1
done
