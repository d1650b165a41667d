#!/bin/bash
# Measures the latency that the nodes add to a call, compared with calls to the
# backend server itself in the same run, and the CPU and memory of the nodes.
#
#   scripts/measure-latency.sh [ROUNDS] [SECONDS]
#
# Node a has no backend server, node b has one; both are in one availability
# zone. "via a" uses the link to b, "via b" doesn't, so their difference is the
# cost of the link. Calls through nodes and direct calls alternate, and so do the
# rows in each round.
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
# Ten more services, whose calls make node a open links to many gates.
services=$(printf '"many%d":{},' $(seq 0 9))
echo "{\"services\":{$services\"slotbook\":{\"timeout_ms\":20000}}}" |
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

# Each traffic thread of node a opens its own link to every gate it selects.
for number in $(seq "${GATES:-64}"); do
    node "n$number" --peer "$(field a peer_listen)" --threads 1
    start "s$number" "$bin/standin-backend" --id "s$number" --service "many$((number % 10))" \
        --slots 100 --work-ms 0 --admin "http://$(field "n$number" admin_listen)"
done
sleep 5
rm -f "$work"/many*
loads=()
for number in $(seq 0 9); do
    "$bin/currantlift-replay" --rate 60 --seconds 6 --service "many$number" \
        --target "http://$(field a listen)" >"$work/many$number" &
    loads+=($!)
done
sleep 6
peers=$(sed -n 's/.*"peer_listen":"[^"]*:\([0-9]*\)".*/\1/p' "$work"/n*.out | paste -sd '|')
links=$(ss -Htnp state established | grep "pid=$pid_a," | awk '{print $4}' | grep -cE ":($peers)\$" || true)
echo "$links links of a to ${GATES:-64} gates: rss a $(rss_kb "$pid_a") kB"
wait "${loads[@]}" || true
tail -qn 1 "$work"/many* | grep -o '"ends":{[^}]*}' | sort | uniq -c

"$bin/currantlift-replay" --rate 500 --seconds 5 --warm-up-seconds 0 --service slotbook \
    --work-us 2000000 --target "http://$(field a listen)" >"$work/inflight" &
load=$!
sleep 4.5
echo "calls in flight: $("$bin/currantlift-ctl" --admin "http://$(field a admin_listen)" status | tr -d ' \n')"
echo "1000 in flight: rss a $(rss_kb "$pid_a") kB, b $(rss_kb "$pid_b") kB"
wait "$load" || true
tail -n 1 "$work/inflight"
