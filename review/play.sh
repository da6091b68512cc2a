#!/usr/bin/env bash
# Plays a case: play.sh FOLDER PROGRAM. Exit code 1: the rule was broken, 0: it held, 2: the case
# could not run.
set -u
here=$1
cd "$here/../.." || exit 2
program=target/review/release/$2
[ -x "$program" ] && [ -x target/release/marjoramlift ] || exit 2
folder=$(mktemp -d) || exit 2
# Ends what a stand-in that was itself ended has left: only processes that this case started.
clean_up() {
  if [ -f "$folder/pids" ]; then
    while read -r pid; do
      grep -qs "$folder" "/proc/$pid/cmdline" && kill -9 "$pid"
    done <"$folder/pids"
  fi
  rm -rf "$folder"
}
trap clean_up EXIT
trap 'exit 2' INT TERM
RECORD="$here/record.txt" FOLDER="$folder" timeout -k 5 110 "$program"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
