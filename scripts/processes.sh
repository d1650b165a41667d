# Functions for scripts that run several processes; to be sourced.
# Standard output of process NAME, log lines included, goes to $logs/NAME.out,
# standard error to $logs/NAME.err.

logs=$(mktemp -d)
pids=()

# stop_all SIGNAL: sends a signal to every started process and waits for them.
stop_all() {
    kill "-$1" "${pids[@]}" 2>/dev/null || true
    wait "${pids[@]}" 2>/dev/null || true
    pids=()
}

# start NAME COMMAND...: starts a process and waits for its first line, which
# states the addresses that it listens on.
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

# address NAME KEY: prints the address that a process stated under a key.
address() {
    first_line "$1" | sed -n "s/.*\"$2\":\"\([^\"]*\)\".*/\1/p"
}
