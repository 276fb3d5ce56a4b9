#!/usr/bin/env bash
# Builds the stand-ins of the review. The service itself is built by the build command of deploy/service.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B target/review -DCMAKE_BUILD_TYPE=Release
cmake --build target/review -j8
