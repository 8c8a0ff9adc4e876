#!/usr/bin/env bash
# One task needs a label that a single runner has. That runner crashes CRASHES times, each time AFTER_S
# seconds after it has begun the task, and is back DOWN_S seconds later; then it stays. TROUBLE=0 leaves
# the crashes out. KEEP=FOLDER keeps the logs of the processes there.
set -u
case_dir=$(cd "$(dirname "$0")" && pwd)
queues=plain,bulk
# shellcheck source=../standins-3/cluster.sh
. "$case_dir/../standins-3/cluster.sh"
crashes=${CRASHES:-3}
[ "${TROUBLE:-1}" = 0 ] && crashes=0
start_cluster
kill_runner 1
start_runner 1 --label b
say "runner 1 started with the label b"
"$bin/clients" run --nodes "$callers" --queue plain --label a --large-queue bulk --kind labelled \
    --large-jobs 1 --large-at-s 3 --large-gap-ms 500 --seconds 64 --gap-ms 200 \
    --finish-s 14 --logs "$runner_logs" --record "$record" &
clients_pid=$!
for _ in $(seq "$crashes"); do
    before=$(wc -l <"$work/runner-1.txt")
    for _ in $(seq 150); do
        tail -n +"$((before + 1))" "$work/runner-1.txt" | grep -q " start " && break
        sleep 0.1
    done
    sleep "${AFTER_S:-5}"
    kill_runner 1
    say "runner 1 crashed"
    sleep "${DOWN_S:-3}"
    start_runner 1 --label b
    say "runner 1 started again"
done
wait "$clients_pid"
result=$?
end_cluster
sort -n -s -k1,1 "$work/runner-1.txt" >>"$record"
judge_jobs_and_nodes "$result"
