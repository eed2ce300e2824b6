#!/usr/bin/env bash
# The stand-ins of the cases are Python scripts of this folder and need the standard library alone: there is nothing to
# compile. This checks that they can be started, and that the build of the deploy file is there.
set -euo pipefail
cd "$(dirname "$0")/.."
command -v python3 >/dev/null || { echo "python3 is missing"; exit 1; }
python3 - <<'PY'
import sys
assert sys.version_info >= (3, 9), "python3 is older than 3.9"
sys.dont_write_bytecode = True
sys.path.insert(0, "review/standins")
import world  # noqa: F401,E402
PY
[ -x target/weirmill ] || { echo "target/weirmill is missing: run the build of deploy/service.toml first"; exit 1; }
