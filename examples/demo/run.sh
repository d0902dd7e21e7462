#!/usr/bin/env bash
# Starts three processes and emulated back ends, applies the pipelines, sends
# requests and a burst, and prints attainment and cost by stage.
set -euo pipefail
cd "$(dirname "$0")/../.."
bin=target/release
rm -rf demo-data
mkdir -p demo-data
pids=()
stop() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
trap stop EXIT
$bin/silversail emulate examples/demo/backends.yaml --seconds 120 > demo-data/backends.txt &
pids+=($!)
for i in 1 2 3; do
  $bin/silversaild --settings examples/demo/node-$i.yaml 2> "demo-data/n$i.err" &
  pids+=($!)
done
servers=127.0.0.1:19201,127.0.0.1:19202,127.0.0.1:19203
entry=127.0.0.1:18101,127.0.0.1:18102,127.0.0.1:18103
for _ in $(seq 1 100); do
  if $bin/silversail apply --server $servers --file examples/demo/pipelines.yaml 2>/dev/null; then break; fi
  sleep 0.2
done
sleep 1
echo "--- one streamed request"
$bin/silversail request --entry $entry --pipeline chat --tenant desk --text "a bay near the lift" --stream | tail -n 3
echo "--- one barrier call, sent twice with the same key"
$bin/silversail request --entry $entry --pipeline open-barrier --tenant gates --key ticket-1
$bin/silversail request --entry $entry --pipeline open-barrier --tenant gates --key ticket-1
echo "--- a burst"
$bin/silversail load examples/demo/load.yaml --entry $entry --calls demo-data/calls.jsonl
$bin/silversail check-history --calls demo-data/calls.jsonl
$bin/silversail status --server $servers
