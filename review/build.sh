#!/usr/bin/env bash
# The stand-ins are Python and need no compilation; this checks that they can be imported.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c "import harness"
