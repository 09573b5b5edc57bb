#!/bin/sh
# With TROUBLE=0 the case runs without its disruption: the bad clients that send and go; those under an open request's id stay.
TROUBLE=${TROUBLE:-1}
export TROUBLE
exec "$(dirname "$0")/../run_case.sh" "$(cd "$(dirname "$0")" && pwd)"
