# Sourced by each case's run.sh, with its folder in $here.
root=$(cd "$here/../.." && pwd) || exit 2
test -x "$root/.venv/bin/python" || { echo "run the build of the deploy file first"; exit 2; }
exec timeout -k 5 118 "$root/.venv/bin/python" "$here/case.py"
