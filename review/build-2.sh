#!/bin/sh
# Builds the stand-ins of the second review. They are plain Python, as are the project's
# own, so this checks that all of them import with the dependencies of the build.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. python3 -c "
import review.rig.caller
import review.rig.deployment
import review.rig.worker
import lacewingcross.standins.object_store
"
