#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start, into
# build-review-2/, with the packages of the deploy file. The scripts take vlentry
# and vltarget from target/, where the build of the deploy file puts them, and need
# Python 3.
set -euo pipefail
cd "$(dirname "$0")/.."
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
cmake -S review/common-2/build -B build-review-2 -G Ninja \
  -DCMAKE_BUILD_TYPE=Release
cmake --build build-review-2 --target standin_platform_store \
  standin_platform_origin standin_platform_replica
