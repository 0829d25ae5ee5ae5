#!/usr/bin/env bash
# Exits with 1 if a worker was brought over its capacity, 0 if not, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
rm -f record.txt
timeout -k 5 118 python3 scenario.py
code=$?
grep -q "  exit $code\$" record.txt || code=2
exit "$code"
