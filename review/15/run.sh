#!/usr/bin/env bash
# A client hands in one gang of 20,000 small tasks, beside ordinary jobs.
# TROUBLE=0 leaves it out. KEEP=FOLDER keeps the logs of the processes there.
set -u
case_dir=$(cd "$(dirname "$0")" && pwd)
queues=plain,bulk
# shellcheck source=../standins-3/cluster.sh
. "$case_dir/../standins-3/cluster.sh"
start_cluster
large_jobs=${LARGE:-1}
[ "${TROUBLE:-1}" = 0 ] && large_jobs=0
"$bin/clients" run --nodes "$callers" --queue plain --large-queue bulk --kind gang \
    --large-jobs "$large_jobs" --large-at-s 4 --large-gap-ms 500 --seconds 30 --gap-ms 200 \
    --finish-s 14 --logs "$runner_logs" --record "$record"
result=$?
end_cluster
# GANG: a run ends alone, before its job is cancelled, with no disruption near.
cat "$work"/runner-*.txt | grep " alone$" | sort -n >>"$record"
alone=$(cat "$work"/runner-*.txt | grep -c " end .* alone$")
echo "summary runs that ended alone: $alone" | tee -a "$record"
[ "$alone" -gt 0 ] && result=1
judge_jobs_and_nodes "$result"
