#!/bin/sh
# With TROUBLE=0 the case runs without its disruption: the bad clients, both kinds.
TROUBLE=${TROUBLE:-1}
export TROUBLE
exec "$(dirname "$0")/../run_case.sh" "$(cd "$(dirname "$0")" && pwd)"
