#!/bin/sh
# Installs those of the named Debian packages that are missing: install.sh PACKAGE...
set -eu
missing=
for package in "$@"; do
  [ "$(dpkg-query -W -f '${Status}' "$package" 2>/dev/null)" = "install ok installed" ] || missing="$missing $package"
done
[ -n "$missing" ] || exit 0
sudo=
[ "$(id -u)" -eq 0 ] || sudo=sudo
$sudo apt-get update -q
# shellcheck disable=SC2086  # a list
$sudo apt-get install -y -q --no-install-recommends $missing
