#!/bin/sh
# Builds every stand-in that the scripts of cases 6 to 10 start. They are Python sources that need no build and no
# package; this checks that they can be read by the Python that will run them. Nothing is written.
cd "$(dirname "$0")" || exit 1
for python in python3 /usr/bin/python3 python3.12 python3.11; do
    if "$python" -c 'import sys, tomllib, asyncio; sys.exit(sys.version_info < (3, 11))' 2>/dev/null; then
        exec "$python" -B -c 'import ast, sys; [ast.parse(open(name).read(), name) for name in sys.argv[1:]]' \
            shared-2/*.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py
    fi
done
echo "no Python 3.11 or later"
exit 1
