#!/bin/bash
# Builds the stand-ins that the scripts of review/11 and later start. They are plain JavaScript modules without dependencies,
# which run as they are, so this checks that each can be parsed.
cd "$(dirname "$0")/.." || exit 2
for file in review/lib-3/*.mjs review/1[1-5]/*.mjs; do
  if [ -e "$file" ]; then node --check "$file" || exit 1; fi
done
