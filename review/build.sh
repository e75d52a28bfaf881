#!/bin/sh
# Compiles the stand-ins and clients of the cases. They need only the standard
# library of Python; the gateways need the build of the deploy file.
cd "$(dirname "$0")" && exec python3 -m compileall -q rig 1 2 3
