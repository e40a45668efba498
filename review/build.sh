#!/bin/sh
# Compiles the stand-ins that the scripts start; they need only what the build
# of the deploy file has installed below target/deps.
cd "$(dirname "$0")/.." && python3 -m compileall -q review src/nutmeghook/standins
