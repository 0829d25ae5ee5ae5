#!/usr/bin/env bash
# Implements the commands of ./run, which calls it from the root of the project.
set -euo pipefail

build=build

install() {
    local missing=() package
    for package in $(grep -v '^#' scripts/packages.txt); do
        dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
    done
    if [ ${#missing[@]} -gt 0 ]; then
        apt-get update
        apt-get install -y --no-install-recommends "${missing[@]}"
    fi
}

build() {
    install
    cmake -S . -B "$build" -G Ninja >"$build.log" 2>&1 || { cat "$build.log"; exit 1; }
    cmake --build "$build" -j"$(nproc)"
}

sources() {
    git ls-files '*.h' '*.cpp' 'Hibiscus/*' | grep -E '\.(h|cpp)$|^Hibiscus/[A-Z][A-Za-z]*$' \
        | grep -v '^generated/' | sort -u
}

case "${1:-help}" in
install) install ;;
build) build ;;
demo) build && python3 scripts/demo.py "$build/bin" ;;
test) build && scripts/test.sh "$build" ;;
bench) build && shift && "$build/bin/dispatch-bench" "$@" ;;
soak) build && shift && "$build/bin/hibiscus-tests" "$@" ;;
format) sources | xargs clang-format -i ;;
lint) build && scripts/lint.sh "$build" ;;
*)
    echo "usage: ./run demo|test|bench|build|install|soak|format|lint"
    exit 2
    ;;
esac
