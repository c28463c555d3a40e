#!/bin/sh
# The stand-ins are plain modules that need no build; this checks that each can be parsed.
set -e
cd "$(dirname "$0")"
for file in *.mjs [1-5]/*.mjs; do
  node --check "$file"
done
