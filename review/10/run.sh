#!/bin/sh
# Plays one case of the review; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/rig2/bin/rig2 ] || { echo "run the build of the deploy file and review/build-2.sh first"; exit 2; }
exec review/rig2/bin/rig2 silence review/10
