#!/bin/bash
# Runs one of the users' two deployments on loopback: a stand-in store, and a
# node with a stand-in backend server for each upstream. Submits change ticket 1
# and sends requests through a node that serves another service.
#
#   scripts/demo.sh [hearthwood|chantier] [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."

deployment=${1:-hearthwood}
seconds=${2:-5}
case $deployment in
hearthwood)
    region=oyo-west slots=6 connections=260 rate=60
    zones=(ogbomoso-a oyo-town-b iseyin-c)
    services=(slotbook:4 tillpost:3 yardlog:4)
    ;;
chantier)
    region=qc-est slots=18 connections=240 rate=120
    zones=(qc-est-a qc-est-b qc-est-c qc-est-d)
    services=(trajet:4 chantier:4 plans:4)
    ;;
*)
    echo "usage: scripts/demo.sh [hearthwood|chantier] [SECONDS]" >&2
    exit 2
    ;;
esac

cargo build --release --locked --bins
bin=target/release
. scripts/processes.sh
trap 'stop_all TERM' EXIT

start store $bin/standin-store
store=$(first_line store)

nodes=()
peer=()
index=0
for entry in "${services[@]}"; do
    service=${entry%:*}
    for number in $(seq "${entry#*:}"); do
        node=$service-$number
        zone=${zones[$((index % ${#zones[@]}))]}
        start "$node" $bin/currantlift-node --node-id "$node" --region $region --zone "$zone" \
            --listen 127.0.0.1:0 --peer-listen 127.0.0.1:0 --admin-listen 127.0.0.1:0 \
            --store "http://$store" "${peer[@]}"
        [ ${#peer[@]} -gt 0 ] || peer=(--peer "$(address "$node" peer_listen)")
        start "$node-backend" $bin/standin-backend \
            --admin "http://$(address "$node" admin_listen)" --id "$node-backend" \
            --service "$service" --slots $slots --connections $connections
        nodes+=("$node")
        index=$((index + 1))
    done
done
echo "started ${#nodes[@]} upstreams in ${#zones[@]} availability zones; logs in $logs"

first=${nodes[0]}
admin=http://$(address "$first" admin_listen)
$bin/currantlift-ctl --admin "$admin" submit samples/$deployment.json 1

# Backend servers announce themselves within a second.
sleep 2
$bin/currantlift-ctl --admin "$admin" services

last=${nodes[-1]}
target=http://$(address "$last" listen)
service=${services[0]%:*}
echo "calling $service through node $last, which serves another service"
$bin/currantlift-replay --target "$target" --service "$service" \
    --rate "$rate" --seconds "$seconds" --body-bytes 1024
echo "one of the routing decisions:"
grep -h -m 1 '"target":"routing"' "$logs/$last.out"

stop_all TERM
trap - EXIT
echo "stopped"
