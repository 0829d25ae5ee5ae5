#!/usr/bin/env bash
# Runs every test, except for the known failures of KNOWN-RED.txt, which it prints and skips: lines
# that begin with "ctest: " name tests of ctest, lines that begin with "gtest: " name GoogleTests.
# Usage: test.sh BUILD_FOLDER
set -euo pipefail
build=$1
excluded='^$'
if [ -f KNOWN-RED.txt ]; then
    echo "known failures, skipped:"
    cat KNOWN-RED.txt
    names=$(sed -n 's/^ctest: //p' KNOWN-RED.txt | paste -sd'|')
    [ -n "$names" ] && excluded="^($names)\$"
    HIBISCUS_KNOWN_RED=$(sed -n 's/^gtest: //p' KNOWN-RED.txt | paste -sd':')
    export HIBISCUS_KNOWN_RED
fi
ctest --test-dir "$build" --output-on-failure -j "$(nproc)" -E "$excluded"
