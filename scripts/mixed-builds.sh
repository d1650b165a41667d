#!/bin/bash
# Runs nodes of two builds in one fleet on loopback and checks that they work
# together: two availability zones, in each one node of either build, one service
# on the nodes of either build, a relay in front of each node.
#
#   scripts/mixed-builds.sh OLD_DIR NEW_DIR     (folders with the programs)
set -euo pipefail
cd "$(dirname "$0")/.."

old=$1
new=$2
. scripts/processes.sh
trap 'stop_all TERM' EXIT

declare -A build=([a-old]=$old [a-new]=$new [b-old]=$old [b-new]=$new)
declare -A service=([a-old]=slotbook [b-old]=slotbook [a-new]=tillpost [b-new]=tillpost)
names=(a-old a-new b-old b-new)
declare -A pid_of
failures=0

# check TEXT COMMAND...: repeats the command for up to 15 s until it succeeds.
check() {
    local text=$1
    shift
    for _ in $(seq 75); do
        if "$@" >/dev/null 2>&1; then
            echo "passed: $text"
            return
        fi
        sleep 0.2
    done
    echo "FAILED: $text"
    failures=$((failures + 1))
}

ctl() {
    local name=$1
    shift
    "${build[$name]}/currantlift-ctl" --admin "http://$(address "$name" admin_listen)" "$@"
}

# start_node NAME: starts a node behind its relay, joined through the first one.
start_node() {
    local name=$1 join=()
    [ "$name" = "${names[0]}" ] || join=(--peer "$(first_line "${names[0]}-relay")")
    start "$name" "${build[$name]}/currantlift-node" --node-id "$name" --region oyo-west \
        --zone "zone-${name%-*}" --listen 127.0.0.1:0 --peer-listen 127.0.0.1:0 \
        --admin-listen 127.0.0.1:0 --store "http://$store" \
        --peer-advertise "$(first_line "$name-relay")" "${join[@]}"
    pid_of[$name]=${pids[-1]}
    echo "target $(address "$name" peer_listen)" >"$logs/$name.steer"
    start "$name-backend" "${build[$name]}/standin-backend" --id "$name-backend" --slots 6 \
        --admin "http://$(address "$name" admin_listen)" --service "${service[$name]}" --print-runs
    pid_of[$name-backend]=${pids[-1]}
}

knows_all() {
    local members name
    members=$(ctl "$1" members)
    for name in "${names[@]}"; do grep -q "\"$name\"" <<<"$members" || return 1; done
}

serves_both() {
    [ "$(ctl "$1" services | grep -o '"state": *"ready"' | wc -l)" -eq 4 ]
}

in_force() {
    ctl "$1" services | grep -q "\"ticket\": *$2"
}

# call FROM SERVICE ID WORK_US: a request through a node; prints the answer's status.
call() {
    curl -s -o /dev/null -w '%{http_code}' -m 5 -H "Host: $2" -H "request-id: $3" \
        -H "standin-work-us: $4" "http://$(address "$1" listen)/orders"
}

calls_cross() {
    for number in $(seq 20); do
        [ "$(call "$1" "$2" "$1-$2-$number" 1000)" = 200 ] || return 1
    done
}

# resumes FROM SERVICE: cuts the links while a call is at work; it ends with its answer.
resumes() {
    local before name answer=$logs/answer.$1
    before=$(grep -c 'resumed on a new link' "$logs/$1.out" || true)
    call "$1" "$2" "resumed-$1" 700000 >"$answer" &
    local pid=$!
    sleep 0.3
    for name in "${names[@]}"; do echo cut >"$logs/$name.steer"; done
    wait $pid
    [ "$(cat "$answer")" = 200 ] &&
        [ "$(grep -c 'resumed on a new link' "$logs/$1.out")" -gt "$before" ]
}

# explains_alike NAME: both builds explain the last resumed call from all logs alike.
explains_alike() {
    local id
    id=$(sed -n 's/.*resumed on a new link","call":"\([^"]*\)".*/\1/p' "$logs/$1.out" | tail -n 1)
    for side in old new; do
        "${!side}/currantlift-ctl" explain "$id" --log "$logs/a-old.out" --log "$logs/a-new.out" \
            --log "$logs/b-old.out" --log "$logs/b-new.out" >"$logs/explain.$side"
    done
    grep -q 'call answered' "$logs/explain.old" && cmp "$logs/explain.old" "$logs/explain.new"
}

start store "$old/standin-store"
store=$(first_line store)
for name in "${names[@]}"; do
    mkfifo "$logs/$name.steer"
    start "$name-relay" bash -c 'exec "$1" <>"$2"' relay "${build[$name]}/standin-relay" \
        "$logs/$name.steer"
    start_node "$name"
done

check "ticket 1 submitted at an old node" ctl a-old submit samples/hearthwood.json 1
for name in "${names[@]}"; do
    check "$name knows all four nodes" knows_all "$name"
    check "$name has ticket 1 in force" in_force "$name" 1
done
check "ticket 2 submitted at a new node" ctl b-new submit samples/hearthwood.json 2
for name in "${names[@]}"; do
    check "$name has ticket 2 in force" in_force "$name" 2
    check "$name knows all four upstreams as ready" serves_both "$name"
done
check "20 calls through an old node to new ones" calls_cross a-old tillpost
check "20 calls through a new node to old ones" calls_cross a-new slotbook
check "call through an old node is resumed at a new one" resumes b-old tillpost
check "call through a new node is resumed at an old one" resumes b-new slotbook
check "both builds explain a call through a new node alike" explains_alike b-new
check "both builds explain a call through an old node alike" explains_alike b-old

"$old/currantlift-decisions" --write --deployment hearthwood --scenario calm \
    --seconds 1 >"$logs/trace.jsonl" || true
check "an old trace is not empty" test -s "$logs/trace.jsonl"
"$old/currantlift-decisions" "$logs/trace.jsonl" >"$logs/decisions.old" || true
"$new/currantlift-decisions" "$logs/trace.jsonl" >"$logs/decisions.new" || true
check "both builds decide alike on an old trace" cmp "$logs/decisions.old" "$logs/decisions.new"

# All nodes end and start again as new ones, on the store that the old one filled.
for name in "${names[@]}"; do
    for suffix in "" -backend; do
        kill -TERM "${pid_of[$name$suffix]}"
        wait "${pid_of[$name$suffix]}" || echo "$name$suffix ended with $?"
    done
    build[$name]=$new
done
for name in "${names[@]}"; do start_node "$name"; done
for name in "${names[@]}"; do
    check "$name, started as a new one, has ticket 2 in force" in_force "$name" 2
    check "$name, started as a new one, knows all four upstreams as ready" serves_both "$name"
done
echo "failures: $failures; logs in $logs"
[ "$failures" -eq 0 ]
