#!/bin/sh
# Installs the given Debian packages that are not installed yet: install.sh PACKAGE...
set -eu
missing=
for package in "$@"; do
  [ "$(dpkg-query -W -f '${Status}' "$package" 2>/dev/null)" = "install ok installed" ] || missing="$missing $package"
done
[ -n "$missing" ] || exit 0
sudo=
[ "$(id -u)" -eq 0 ] || sudo=sudo
$sudo apt-get update -q
# shellcheck disable=SC2086  # $missing is a list of words
$sudo apt-get install -y -q --no-install-recommends $missing
