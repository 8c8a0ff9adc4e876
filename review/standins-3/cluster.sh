# shellcheck shell=bash
# A small deployment on loopback addresses; to be sourced by the run.sh of a case, which sets
# case_dir. Every process is started here and ended by its id.

root=$(cd "$case_dir/../.." && pwd)
bin=$root/build-review-3
node_program=$root/target/bin/buckthornspar-node
work=$(mktemp -d)
mkdir "$work/marks"
# An address of the loopback network for this run alone, so that the ports are free on it.
host=127.$((20 + RANDOM % 200)).$((1 + $$ / 250 % 250)).$((1 + $$ % 250))
record=$case_dir/record.txt
: >"$record"
node_count=${node_count:-3}
runner_count=${runner_count:-8}
memory_mb=${memory_mb:-260}
queues=${queues:-plain}
runner_options=()
pids=()
declare -A runner_pid=()
nodes_pid=

say() {
    echo "$(date +%s%3N) $*" >>"$record"
}

end_cluster() {
    if [ -n "$nodes_pid" ]; then
        kill -TERM "$nodes_pid" 2>/dev/null
        wait "$nodes_pid" 2>/dev/null
        nodes_pid=
    fi
    for id in "${pids[@]}" "${runner_pid[@]}"; do
        kill -KILL "$id" 2>/dev/null
        wait "$id" 2>/dev/null
    done
    pids=()
    runner_pid=()
    if [ -n "${KEEP:-}" ]; then
        mkdir -p "$KEEP" && cp "$work"/*.* "$KEEP"/
    fi
}
trap 'end_cluster; rm -rf "$work"' EXIT
trap 'exit 2' INT TERM

cannot_run() {
    say "cannot run: $*"
    echo "cannot run: $*" >&2
    exit 2
}

# start_runner NUMBER [OPTIONS]: also starts it again after kill_runner.
start_runner() {
    local number=$1
    shift
    "$bin/runner" run --id "i-$number" --listen "$host:$((8100 + number))" --store "$host:8000" \
        --log "$work/runner-$number.txt" --marks "$work/marks" "$@" >>"$work/runner-$number.out" 2>&1 &
    runner_pid[$number]=$!
}

kill_runner() {
    kill -KILL "${runner_pid[$1]}" 2>/dev/null
    wait "${runner_pid[$1]}" 2>/dev/null
    unset "runner_pid[$1]"
}

# The settings of deploy/node.yaml with the values of the small deployments.
write_settings() {
    local number=$1
    cat >"$work/node-$number.yaml" <<END
id: "edge-$number"
data_centre: "one"
callers: "$host:$((9000 + number))"
readiness: "$host:$((9100 + number))"
address: "$host"
peer_port: $((9200 + number))
store: "$host:8000"
advice: "$host:8001"
lease_ms: 6000
cancel_bound_ms: 3000
drain_bound_ms: 2500
min_store_lease_ms: 1000
stop_grace_s: 6
state_retention_s: 120
cpu_share: 0.25
link_mbps: 1000.0
max_fds: 4100
memory_mb: $memory_mb
store_value_bytes: 1048576
END
}

# answers ADDRESS:PORT PATH: succeeds when the server answers with 200.
answers() {
    local line
    {
        printf 'GET %s HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n' "$2" >&3 &&
            IFS= read -r -t 1 line <&3
    } 3<>"/dev/tcp/${1%:*}/${1##*:}" && [[ $line == *" 200 "* ]]
}

start_cluster() {
    [ -x "$node_program" ] || cannot_run "the node is not built"
    for program in platform runner nodes clients; do
        [ -x "$bin/$program" ] || cannot_run "$program is not built, see review/build-3.sh"
    done
    "$bin/platform" run --listen "$host:8000" --queues "$queues" >"$work/platform.out" 2>&1 &
    pids+=($!)
    for number in $(seq "$runner_count"); do
        start_runner "$number" "${runner_options[@]}"
    done
    configs=
    callers=
    runner_logs=
    for number in $(seq "$node_count"); do
        write_settings "$number"
        configs+=${configs:+,}$work/node-$number.yaml
        callers+=${callers:+,}$host:$((9000 + number))
    done
    for number in $(seq "$runner_count"); do
        runner_logs+=${runner_logs:+,}$work/runner-$number.txt
    done
    (cd "$root" && exec "$bin/nodes" run --program target/bin/buckthornspar-node \
        --configs "$configs" --memory-mb "$memory_mb" --logs "$work" --record "$record") &
    nodes_pid=$!
    for number in $(seq "$node_count"); do
        for _ in $(seq 100); do
            answers "$host:$((9100 + number))" /v1/readyz 2>/dev/null && continue 2
            sleep 0.1
        done
        cannot_run "node $number is not ready"
    done
    say "cluster of $node_count nodes and $runner_count runners at $host is ready"
}

# judge_jobs_and_nodes RESULT: exits with 1 when the clients saw a rule broken (LOST), or when on two
# nodes or more processes ended by themselves three times (Fault). After end_cluster.
judge_jobs_and_nodes() {
    local ended
    ended=$(awk '$1 == "summary" && $3 == "peak_mb" && $6 + $8 >= 3' "$record" | wc -l)
    grep -h "^summary" "$record"
    echo "summary nodes that ended three times or more: $ended" | tee -a "$record"
    [ "$1" -gt 1 ] && exit 2
    [ "$ended" -ge 2 ] && exit 1
    exit "$1"
}
