#!/usr/bin/env bash
# Checks the formatting and runs the linter on all sources. Usage: lint.sh BUILD_FOLDER
set -euo pipefail
build=$1
git ls-files '*.h' '*.cpp' | grep -v '^generated/' | xargs clang-format --dry-run --Werror
git ls-files '*.cpp' | grep -v '^generated/' | xargs -P "$(nproc)" -n 2 clang-tidy --quiet -p "$build"
scripts/red-runs --check
echo "lint: clean"
