#!/bin/bash
# Measures the resource usage of a node as the fleet grows. For each size, starts
# a stand-in store and a fleet of real node processes on loopback, each with a
# stand-in backend server, and prints two rows of means over all nodes: idle, and
# with one change ticket every two seconds. Columns: nodes, changes, CPU time in
# microseconds per node and second, resident memory in KiB (mean and maximum),
# and bytes of membership per node and second (sent, received, digests).
#
#   [SETTLE_SECONDS=60] scripts/measure-nodes.sh SECONDS SIZE...
set -euo pipefail
cd "$(dirname "$0")/.."

seconds=${1:-30}
shift || true
sizes=("${@:-10}")
settle_seconds=${SETTLE_SECONDS:-60}
bin=target/release
. scripts/processes.sh
# The shutdown of a fleet isn't measured, so nodes are killed without a drain.
trap 'stop_all KILL' EXIT

# sample: prints CPU ticks, resident memory and byte counters of all nodes.
sample() {
    local index
    for index in "${!node_pids[@]}"; do
        local ticks memory
        ticks=$(awk '{ print $14 + $15 }' "/proc/${node_pids[$index]}/stat")
        memory=$(awk '/VmRSS/ { print $2 }' "/proc/${node_pids[$index]}/status")
        curl -s "http://${admins[$index]}/v1/status" | jq -r --arg rest "$ticks $memory" \
            '.counters | "\($rest) \(.["membership.bytes_sent"]) \(.["membership.bytes_received"]) \(.["membership.sync_bytes_sent"] + .["membership.sync_bytes_received"])"'
    done
}

# measure NODES CHANGES: measures for SECONDS and prints a row. Submits a change
# ticket every two seconds unless CHANGES is 0.
measure() {
    local tick_micros=$((1000000 / $(getconf CLK_TCK)))
    sample >"$logs/before"
    local begin=$EPOCHREALTIME
    local change
    for change in $(seq "$((seconds / 2))"); do
        if [ "$2" -gt 0 ]; then
            number=$((number + 1))
            $bin/currantlift-ctl --admin "http://${admins[0]}" submit "$logs/ticket.json" $number >/dev/null
        fi
        sleep 2
    done
    local end=$EPOCHREALTIME
    sample >"$logs/after"
    paste -d ' ' "$logs/before" "$logs/after" | awk -v nodes="$1" -v changes="$2" \
        -v seconds="$(awk "BEGIN { print $end - $begin }")" -v tick="$tick_micros" '
        { ticks += $6 - $1; memory += $7; if ($7 > most) most = $7
          sent += $8 - $3; received += $9 - $4; sync += $10 - $5 }
        END { printf "%d %d %.0f %.0f %d %.0f %.0f %.0f\n", nodes, changes,
              ticks * tick / seconds / NR, memory / NR, most,
              sent / seconds / NR, received / seconds / NR, sync / seconds / NR }'
}

[ -x $bin/currantlift-node ] || cargo build --release --locked --bins
echo "nodes changes cpu_us memory_kib most_kib sent_bps received_bps digests_bps"
for size in "${sizes[@]}"; do
    node_pids=() admins=() peer=()
    number=0
    start store $bin/standin-store
    store=$(first_line store)
    for index in $(seq "$size"); do
        node=upstream-$(printf %04d "$index")
        start "$node" $bin/currantlift-node --node-id "$node" \
            --region "region-$((index % 9 % 4))" --zone "zone-$((index % 9))" \
            --listen 127.0.0.1:0 --peer-listen 127.0.0.1:0 --admin-listen 127.0.0.1:0 \
            --store "http://$store" "${peer[@]}"
        node_pids+=("${pids[-1]}")
        admins+=("$(address "$node" admin_listen)")
        [ ${#peer[@]} -gt 0 ] || peer=(--peer "$(address "$node" peer_listen)")
        start "$node-backend" $bin/standin-backend --admin "http://${admins[-1]}" \
            --id "$node-backend" --service "service-$((index % 10))" --slots 6 --connections 260
    done
    printf '{"services":{"service-1":{}}}' >"$logs/ticket.json"
    sleep $settle_seconds
    known=$(curl -s "http://${admins[-1]}/v1/status" | jq .members_alive)
    [ "$known" -eq "$size" ] || echo "only $known of $size members known" >&2
    measure "$size" 0
    measure "$size" "$((seconds / 2))"
    stop_all KILL
done
