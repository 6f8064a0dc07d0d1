#!/bin/sh
# Runs the case in the folder $1 with the first Python that has what the stand-ins need. Exits with 1 if the rule
# was broken, 0 if it held, 2 if the case could not run.
for python in python3 /usr/bin/python3 python3.12 python3.11; do
    if "$python" -c 'import sys, tomllib, asyncio; sys.exit(sys.version_info < (3, 11))' 2>/dev/null; then
        "$python" -B "$1/case.py"
        case $? in
            0) exit 0 ;;
            10) exit 1 ;;
            *) exit 2 ;;
        esac
    fi
done
echo "NOT RUN: no Python 3.11 or later"
exit 2
