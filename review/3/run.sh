#!/usr/bin/env bash
# Exits with 1 if a worker was brought over its capacity, 0 if not, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
exec timeout -k 5 118 python3 scenario.py
