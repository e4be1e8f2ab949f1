#!/bin/sh
# Builds what the cases 6 to 10 need beside the build of the deploy file. The stand-ins are Python files of the standard
# library and need no build. Made here:
#   common-2/site      the package of the project's extra `peers` (xxhash, as requirements-dev.txt pins it), for gateways
#                      with a replicated state; without a package registry, a stand-in with another checksum
#   common-2/deployed  the program with the packages of requirements.txt alone, as the deploy file's `build` leaves it;
#                      used where the present .venv also has the packages of the laboratory
set -eu
cd "$(dirname "$0")/.."
python=.venv/bin/python
here=review/common-2

rm -rf "$here/site" "$here/deployed"
mkdir -p "$here/site" "$here/deployed"
if ! $python -c 'import xxhash' 2>/dev/null; then # else the gateways find it in .venv
    $python -m pip -q install --retries 1 --timeout 10 --target "$here/site" "$(grep -E '^xxhash==' requirements-dev.txt)" ||
        cp "$here/checksum.py" "$here/site/xxhash.py"
fi

for part in tealwing deploy requirements.txt; do cp -R "$part" "$here/deployed/"; done
$python -m venv --without-pip "$here/deployed/.venv"
$python "$here/copy_packages.py" "$here/deployed/.venv"
find "$here" -maxdepth 1 -name '*.py' -exec $python -m py_compile {} +
