#!/usr/bin/env bash
# Runs a test binary in as many shards as there are cores.
# Usage: shard.sh BINARY FILTER [ARGUMENT ...]
set -uo pipefail
binary=$1
filter=$2
shift 2
shards=$(nproc)
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
pids=()
for ((i = 0; i < shards; i++)); do
    GTEST_TOTAL_SHARDS=$shards GTEST_SHARD_INDEX=$i \
        "$binary" --gtest_filter="$filter" --gtest_brief=1 "$@" >"$folder/$i" 2>&1 &
    pids+=($!)
done
status=0
for ((i = 0; i < shards; i++)); do
    wait "${pids[$i]}" || status=1
    cat "$folder/$i"
done
exit $status
