#!/bin/sh
# Builds what the cases 6 to 10 need beside the build of the deploy file. The stand-ins are Python files of the standard
# library and need no build. Made here, from the packages that the project pins already:
#   common-2/site      the packages of the project's extras `peers` and `gossip`, for gateways with a replicated state
#   common-2/deployed  the program with the packages of requirements.txt alone, as the deploy file's `build` leaves it;
#                      used where the present .venv also has the packages of the laboratory
set -eu
cd "$(dirname "$0")/.."
python=.venv/bin/python
here=review/common-2

rm -rf "$here/site" "$here/deployed"
if $python -c 'import xxhash, cryptography' 2>/dev/null; then
    mkdir -p "$here/site" # nothing to add: the gateways find them in .venv
else
    $python -m pip -q install --target "$here/site" $(grep -E '^(xxhash|cryptography)==' requirements-dev.txt)
fi

mkdir -p "$here/deployed"
for part in tealwing deploy requirements.txt; do cp -R "$part" "$here/deployed/"; done
$python -m venv --without-pip "$here/deployed/.venv"
$python review/common-2/copy_packages.py "$here/deployed/.venv"
find review/common-2 -maxdepth 1 -name '*.py' -exec $python -m py_compile {} +
