#!/bin/sh
# Checks the stand-ins and cases, which need nothing but Python. The daemons are built by the command
# of the deploy file.
set -e
cd "$(dirname "$0")/.."
for file in review/*.py review/*/*.py; do
    python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$file"
done
test -d target/deps || { echo "target/deps is missing: run the build of the deploy file" >&2; exit 2; }
