#!/usr/bin/env bash
# Exits with 1 if a leaving worker was given work, 0 if none was, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
rm -f record.txt
timeout -k 5 118 python3 scenario.py
code=$?
grep -q "  exit $code\$" record.txt || code=2
exit "$code"
