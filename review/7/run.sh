#!/bin/sh
# Exits with 1 if the request reached runners more often than the rule allows, 0 if not, 2 if the case
# could not run.
cd "$(dirname "$0")" && exec node case.mjs
