# shellcheck shell=bash
# Shell functions that start and stop the processes of a local cluster; to be sourced. Processes are
# addressed only by the id that the shell received when it started them.
#
# The caller sets cluster_dir (logs and settings) and bin_dir (programs).

: "${cluster_dir:=}" "${bin_dir:=}" "${stopped_code:=0}"
declare -A process_ids=()
process_order=()

# start_process NAME PROGRAM [ARGUMENTS]: starts the program with output to $cluster_dir/NAME.log.
start_process() {
    local name=$1 program=$2
    shift 2
    "$bin_dir/$program" "$@" >"$cluster_dir/$name.log" 2>&1 &
    process_ids[$name]=$!
    process_order+=("$name")
}

is_running() {
    kill -0 "${process_ids[$1]}" 2>/dev/null
}

# fail TEXT: prints an error and exits; the EXIT trap of the caller stops the processes.
fail() {
    echo "FAILED: $*" >&2
    exit 1
}

# standin_address NAME: waits for a stand-in to listen and prints its address.
standin_address() {
    local name=$1 address
    for _ in $(seq 100); do
        address=$(sed -n 's/^listening //p' "$cluster_dir/$name.log")
        if [ -n "$address" ]; then
            echo "$address"
            return 0
        fi
        is_running "$name" || break
        sleep 0.1
    done
    fail "$name did not start listening: $(cat "$cluster_dir/$name.log")"
}

# http_status ADDRESS:PORT PATH: prints the status code, or nothing if there is no response.
http_status() {
    local address=$1 path=$2 line
    {
        printf 'GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n' "$path" "$address" >&3
        IFS= read -r -t 2 line <&3 && echo "$line" | cut -d' ' -f2
    } 3<>"/dev/tcp/${address%:*}/${address##*:}" || true
}

# http_body ADDRESS:PORT PATH: prints the body of the response.
http_body() {
    local address=$1 path=$2
    {
        printf 'GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n' "$path" "$address" >&3
        sed '1,/^\r$/d' <&3
    } 3<>"/dev/tcp/${address%:*}/${address##*:}"
}

# wait_ready NAME ADDRESS:PORT: waits until the server answers /readyz with 200.
wait_ready() {
    local name=$1 address=$2
    for _ in $(seq 150); do
        if [ "$(http_status "$address" /readyz 2>/dev/null)" = 200 ]; then
            return 0
        fi
        is_running "$name" || break
        sleep 0.1
    done
    tail -n 20 "$cluster_dir/$name.log" >&2
    fail "$name is not ready"
}

# stop_process NAME: sends SIGTERM and waits; kills the process after 40 s. Sets stopped_code to the
# exit code. Must not be called in a subshell, which cannot wait for the process.
stop_process() {
    local name=$1 id=${process_ids[$1]}
    stopped_code=0
    kill -TERM "$id" 2>/dev/null || true
    for _ in $(seq 400); do
        kill -0 "$id" 2>/dev/null || break
        sleep 0.1
    done
    if kill -0 "$id" 2>/dev/null; then
        kill -KILL "$id"
    fi
    wait "$id" || stopped_code=$?
    unset "process_ids[$name]"
}

# kill_all: kills the processes that stop_process has not stopped; for use in EXIT traps.
kill_all() {
    local name
    for name in "${!process_ids[@]}"; do
        kill -KILL "${process_ids[$name]}" 2>/dev/null || true
    done
}
