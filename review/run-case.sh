#!/usr/bin/env bash
# Runs a case of the stand-ins: run-case.sh CASE FOLDER TROUBLE. Exits with 1 if the rule was broken, 0
# if it held, 2 if the case could not run. TROUBLE is 0 to leave the disruption out, 1 otherwise.
set -uo pipefail
case_name=$1
record=$(cd "$2" && pwd)/record.txt
trouble=$3
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
end_all() {
  # Only processes that this run started.
  for pid in $(cat "$folder/pids" 2>/dev/null); do
    if [ "$(readlink "/proc/$pid/exe" 2>/dev/null)" = "$PWD/target/release/silversaild" ]; then
      kill -CONT "$pid" 2>/dev/null
      kill -KILL "$pid" 2>/dev/null
    fi
  done
  rm -rf "$folder"
}
trap end_all EXIT
rm -f "$record"
if [ ! -x target/release/silversaild ] || [ ! -x target/review/standin ]; then
  echo "not built: run the build of the deploy file, then review/build.sh"
  exit 2
fi
timeout 115 target/review/standin "$case_name" "$folder" "$record" "$trouble"
code=$?
case $code in
  0 | 1) exit $code ;;
  *) exit 2 ;;
esac
