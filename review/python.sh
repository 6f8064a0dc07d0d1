# Sets PYTHON to a Python 3.11 or later; ends the script with 2 if there is none.
for PYTHON in python3 /usr/bin/python3 python3.13 python3.12 python3.11 none; do
    "$PYTHON" -c 'import tomllib' 2>/dev/null && break
done
if [ "$PYTHON" = none ]; then
    echo "Python 3.11 or later is not here" >&2
    exit 2
fi
