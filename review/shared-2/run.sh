#!/bin/sh
# Runs the case in the folder $1 with the first Python that has what the stand-ins need.
for python in python3 /usr/bin/python3 python3.12 python3.11; do
    if "$python" -c 'import sys, tomllib, asyncio; sys.exit(sys.version_info < (3, 11))' 2>/dev/null; then
        exec "$python" -B "$1/case.py"
    fi
done
echo "NOT RUN: no Python 3.11 or later"
exit 2
