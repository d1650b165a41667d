# Functions for scripts that run several processes; meant to be sourced.
# The output of process NAME, log lines included, is in $logs/NAME.out; what it
# wrote to standard error is in $logs/NAME.err.

logs=$(mktemp -d)
pids=()

# stop_all SIGNAL: ends every process that was started.
stop_all() {
    kill "-$1" "${pids[@]}" 2>/dev/null || true
    wait "${pids[@]}" 2>/dev/null || true
    pids=()
}

# start NAME COMMAND...: starts a process and waits for its first line, which
# names the addresses that it bound.
start() {
    local name=$1
    shift
    rm -f "$logs/$name.out"
    "$@" >"$logs/$name.out" 2>"$logs/$name.err" &
    pids+=($!)
    for _ in $(seq 500); do
        [ -s "$logs/$name.out" ] && return
        sleep 0.02
    done
    echo "$name did not start:" >&2
    cat "$logs/$name.err" >&2
    exit 1
}

first_line() {
    head -n 1 "$logs/$1.out"
}

# address NAME KEY: address that a process printed under the given key.
address() {
    first_line "$1" | sed -n "s/.*\"$2\":\"\([^\"]*\)\".*/\1/p"
}
