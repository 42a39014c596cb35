#!/bin/sh
# Builds the stand-ins and the runner of the cases: one Go program that uses the standard library alone. Run it after the build of the
# deploy file.
cd "$(dirname "$0")/rig" || exit 2
exec go build -o ../bin/rig .
