#!/usr/bin/env bash
# See ../play.sh for the exit codes. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../play.sh" "$here" blamed
