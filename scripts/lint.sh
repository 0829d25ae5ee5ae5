#!/usr/bin/env bash
# Checks formatting and runs the linter over all sources: lint.sh BUILD_FOLDER
set -euo pipefail
build=$1
git ls-files '*.h' '*.cpp' | grep -v '^generated/' | xargs clang-format --dry-run --Werror
git ls-files '*.cpp' | grep -v '^generated/' | xargs -P "$(nproc)" -n 2 clang-tidy --quiet -p "$build"
echo "lint: clean"
