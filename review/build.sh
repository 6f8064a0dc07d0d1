#!/bin/sh
# Builds the stand-ins of the cases. They are Python programs that need nothing but its standard library, so
# this only checks that Python 3.11 or later is there and that each file can be compiled.
set -eu
cd "$(dirname "$0")"
. ./python.sh
for file in standins/*.py [0-9]/*.py; do
    "$PYTHON" -B -c 'import sys, tomllib; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
echo "stand-ins ready"
