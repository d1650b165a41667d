#!/bin/bash
# Measures the latency that the path adds to a call, against calling the
# backend server directly in the same run, with CPU and memory of the nodes.
#
#   scripts/measure-latency.sh [ROUNDS] [SECONDS]
#
# Node a has no backend server, node b has one; both are in one availability
# zone. "via a" takes the link to b, "via b" does not; the difference is the
# link. Path and baseline take turns call by call, the rows take turns by round.
set -euo pipefail
cd "$(dirname "$0")/.."

rounds=${1:-3}
seconds=${2:-10}
bin=target/release
work=$(mktemp -d)
pids=()

stop_all() {
    kill -TERM "${pids[@]}" 2>/dev/null || true
    wait "${pids[@]}" 2>/dev/null || true
    rm -rf "$work"
}
trap stop_all EXIT

# start NAME COMMAND...: starts a process and waits for its first line.
start() {
    local name=$1
    shift
    "$@" >"$work/$name.out" 2>"$work/$name.log" &
    pids+=($!)
    eval "pid_$name=$!"
    until [ -s "$work/$name.out" ]; do sleep 0.02; done
}

field() { sed -n "s/.*\"$2\":\"\([^\"]*\)\".*/\1/p" "$work/$1.out"; }
cpu_ms() { awk '{print ($14 + $15) * 10}' "/proc/$1/stat"; }
rss_kb() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }

start store "$bin/standin-store" --listen 127.0.0.1:0
node() {
    local name=$1
    shift
    start "$name" "$bin/currantlift-node" --node-id "$name" --region r --zone z \
        --listen 127.0.0.1:0 --peer-listen 127.0.0.1:0 --admin-listen 127.0.0.1:0 \
        --store "http://$(head -n 1 "$work/store.out")" \
        --log-level "${LOG_LEVEL:-info}" "$@"
}
node a
node b --peer "$(field a peer_listen)"
start backend "$bin/standin-backend" --id b1 --service slotbook --slots 2000 \
    --connections 2000 --work-ms 0 --admin "http://$(field b admin_listen)"
backend=http://$(head -n 1 "$work/backend.out")
echo '{"services":{"slotbook":{"timeout_ms":20000}}}' |
    "$bin/currantlift-ctl" --admin "http://$(field a admin_listen)" submit - 1 >"$work/ticket"
is_ready() {
    "$bin/currantlift-ctl" --admin "http://$(field a admin_listen)" services >"$work/services"
    grep -q '"ready"' "$work/services"
}
until is_ready; do sleep 0.1; done
sleep 2
echo "idle: rss a $(rss_kb "$pid_a") kB, b $(rss_kb "$pid_b") kB"

run() {
    local name=$1 rate=$2
    local a0 b0
    a0=$(cpu_ms "$pid_a") b0=$(cpu_ms "$pid_b")
    "$bin/currantlift-replay" --rate "$rate" --seconds "$seconds" --service slotbook \
        --target "http://$(field "$name" listen)" --baseline "$backend" | tail -n 1 >"$work/result"
    local a1 b1 calls
    a1=$(cpu_ms "$pid_a") b1=$(cpu_ms "$pid_b") calls=$((rate * (seconds + 1)))
    python3 - "$name" "$rate" "$work/result" $((a1 - a0)) $((b1 - b0)) "$calls" <<'PY'
import json, sys
name, rate, path, cpu_a, cpu_b, calls = sys.argv[1:]
result = json.load(open(path))
keys = ["p50_ms", "p90_ms", "p99_ms", "p999_ms"]
def row(part):
    return " ".join(f"{part[key]:7.3f}" for key in keys)
per = lambda cpu: int(cpu) * 1000 / int(calls)
print(f"via {name} {rate}/s path {row(result['path']['latency'])} "
      f"direct {row(result['baseline']['latency'])} added {row(result['added'])} "
      f"paired {row(result['added_paired'])} "
      f"cpu ms/1000 a {per(cpu_a):.0f} b {per(cpu_b):.0f} {result['path']['ends']}")
PY
}

for _ in $(seq "$rounds"); do
    for rate in 60 600; do
        run a "$rate"
        run b "$rate"
    done
done

"$bin/currantlift-replay" --rate 500 --seconds 5 --warm-up-seconds 0 --service slotbook \
    --work-us 2000000 --target "http://$(field a listen)" >"$work/inflight" &
load=$!
sleep 4.5
echo "calls in flight: $("$bin/currantlift-ctl" --admin "http://$(field a admin_listen)" status | tr -d ' \n')"
echo "1000 in flight: rss a $(rss_kb "$pid_a") kB, b $(rss_kb "$pid_b") kB"
wait "$load" || true
tail -n 1 "$work/inflight"

# Every traffic thread of a has a link of its own to each gate.
for number in $(seq "${GATES:-50}"); do
    node "n$number" --peer "$(field a peer_listen)" --threads 1
    start "s$number" "$bin/standin-backend" --id "s$number" --service slotbook --slots 100 \
        --work-ms 0 --admin "http://$(field "n$number" admin_listen)"
done
sleep 5
"$bin/currantlift-replay" --rate 600 --seconds 5 --service slotbook \
    --target "http://$(field a listen)" | tail -n 1 >"$work/links"
links=$(ss -Htnp state established | grep -c "pid=$pid_a,.*" || true)
echo "$links connections of a, $((${GATES:-50} + 1)) gates: rss a $(rss_kb "$pid_a") kB, b $(rss_kb "$pid_b") kB"
