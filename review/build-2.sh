#!/bin/sh
# Prepares the stand-ins of the scripted cases: after the build of the deploy file they only need to
# compile and to import, with the packages of that build and Python's own library.
set -e
cd "$(dirname "$0")/.."
test -d target/deps
python3 -m compileall -q review/harness.py standins/store.py
for play in review/[6-9]/play.py review/10/play.py; do
    if [ -e "$play" ]; then python3 -m compileall -q "$play"; fi
done
PYTHONPATH=target/deps:review python3 -c 'import harness'
