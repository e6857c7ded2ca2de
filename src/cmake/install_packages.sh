#!/usr/bin/env bash
# Installs those of the named Debian packages that are missing.
set -euo pipefail
missing=()
for package in "$@"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
  apt-get update
  apt-get install -y --no-install-recommends "${missing[@]}"
fi
