#!/bin/sh
# Installs what the build needs, builds, and shows the sidecar at work between stand-ins: HTTP and DNS, with one
# server and one resolver going silent meanwhile.
set -eu
cd "$(dirname "$0")/.."
sh tools/install.sh cmake g++ make libboost-dev nlohmann-json3-dev libtomlplusplus-dev libcli11-dev libspdlog-dev
cmake -B build-demo -DCMAKE_BUILD_TYPE=Release -DMOTHRACK_DEMO=ON > /dev/null
cmake --build build-demo -j4 --target mothrack_demo
exec build-demo/demo/mothrack_demo
