#!/bin/sh
# Installs the packages that the build needs, then builds and runs the demo: the sidecar between stand-ins for
# HTTP and DNS. One page server and one resolver become unresponsive for a time.
set -eu
cd "$(dirname "$0")/.."
sh tools/install.sh cmake g++ make libboost-dev nlohmann-json3-dev libtomlplusplus-dev libcli11-dev libspdlog-dev
cmake -B build-demo -DCMAKE_BUILD_TYPE=Release -DMOTHRACK_DEMO=ON > /dev/null
cmake --build build-demo -j4 --target mothrack_demo
exec build-demo/demo/mothrack_demo
