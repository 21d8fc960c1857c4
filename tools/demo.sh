#!/usr/bin/env bash
# Builds, starts a small cell on loopback addresses (stand-ins for the platform,
# three failure domains with one azurespurd each), publishes both lists, runs a
# request and a task, kills one azurespurd under load and checks that no
# accepted task is lost. Exit code 0 only if every expectation held.
set -euo pipefail
cd "$(dirname "$0")/.."
source tools/lib.sh

tools/build.sh release
bin=build/release/bin
logs="$(mktemp -d)"
trap kill_all EXIT
domains=(a b c)
declare -A entry=()
failures=0

# expect DESCRIPTION COMMAND...
expect() {
  local description="$1"
  shift
  if "$@"; then
    echo "  held:   $description"
  else
    echo "  FAILED: $description"
    failures=$((failures + 1))
  fi
}

# call DOMAIN METHOD PATH [BODY [HEADER...]]: the body of the answer
call() {
  local url="http://${entry[$1]}$3" method="$2" body="${4:-}" header
  local options=(-s -m 30 -X "$method")
  shift $(($# < 4 ? $# : 4))
  for header in "$@"; do
    options+=(-H "$header")
  done
  if [ -n "$body" ]; then
    options+=(--data-binary "$body")
  fi
  curl "${options[@]}" "$url"
}

start_platform() {
  start_process log $bin/standin_log --append-rate 300
  start_process vmlist $bin/standin_vmlist
  log_url="http://127.0.0.1:$(port_of log log)"
  vm_list_url="http://127.0.0.1:$(port_of vmlist vmlist)"
  local domain
  for domain in "${domains[@]}"; do
    start_process "workers-$domain" $bin/standin_workers --count 8 \
      --name-prefix "w-$domain-" --domain "$domain" \
      --vm-list-url "$vm_list_url" --journal "$logs/workers-$domain.jsonl"
    start_process "executors-$domain" $bin/standin_executors --count 2 \
      --name-prefix "x-$domain-" --domain "$domain" \
      --vm-list-url "$vm_list_url" --journal "$logs/executors-$domain.jsonl"
  done
  for domain in "${domains[@]}"; do
    port_of "workers-$domain" workers-control >/dev/null
    port_of "executors-$domain" executors-control >/dev/null
  done
}

# start_entry DOMAIN PORT PEER-PORT
start_entry() {
  local domain="$1" name="e-$1-1"
  entry[$domain]="127.0.0.1:$2"
  curl -s -X PUT "$vm_list_url/vms/$name" --data-binary \
    "{\"kind\":\"entry\",\"address\":\"127.0.0.1:$2\",
      \"peer_address\":\"127.0.0.1:$3\",\"domain\":\"$domain\"}" >/dev/null
  start_process "$name" $bin/azurespurd --vm-id "$name" --domain "$domain" \
    --listen "127.0.0.1:$2" --peer-listen "127.0.0.1:$3" \
    --log-url "$log_url" --vm-list-url "$vm_list_url" \
    --max-request-time-ms 2000 --worker-lease-ms 2000 \
    --worker-renew-interval-ms 400 --worker-report-interval-ms 300 \
    --vm-list-interval-ms 300
}

is_ready() {
  curl -sf -m 5 "http://${entry[$1]}/readyz" >/dev/null
}

publish() {
  call a POST "/v1/lists/$1" \
    "{\"base_version\":0,\"author\":\"demo\",\"content\":{\"$1\":$2}}"
}

publish_lists() {
  publish allowances '[{"id":"table","request_class":"preview",
      "requests_per_s":500,"burst":100,"max_waiting":500,"deadline_ms":5000},
    {"id":"night","cpu_millis":1000000,"memory_mb":1000000,"max_tasks":1000}]'
  echo
  publish plans '[{"id":"kapwa-preview","customer":"kapwa","allowance":"table"},
    {"id":"kapwa-nightly","customer":"kapwa","allowance":"night"}]'
  echo
}

lists_in_force() {
  local domain
  for domain in "${domains[@]}"; do
    [ "$(call "$domain" GET /dump | jq .lists.plans_version)" = 1 ] || return 1
    [ "$(call "$domain" GET /dump | jq .lists.allowances_version)" = 1 ] ||
      return 1
  done
}

preview_ran() {
  call a POST /v1/requests '{"key":"preview-1","fares":[120,80,95]}' \
    'Azurespur-Plan: kapwa-preview' >"$logs/preview"
  jq -e '.echo.key == "preview-1"' "$logs/preview" >/dev/null 2>&1
}

# submit DOMAIN KEY RUN-MS
submit() {
  call "$1" POST /v1/tasks "{\"key\":\"$2\",\"plan\":\"kapwa-nightly\",
    \"name\":\"reconciliation\",\"cpu_millis\":4000,\"memory_mb\":2000,
    \"non_idempotent\":true,\"payload\":\"run_ms=$3\"}"
}

# has_fate DOMAIN KEY FATE
has_fate() {
  [ "$(call "$1" GET "/v1/tasks/k.kapwa-nightly.$2" | jq -r .fate)" = "$3" ]
}

all_finished() {
  local key
  while read -r key; do
    has_fate b "$key" finished || return 1
  done <"$logs/accepted"
}

submit_under_load() {
  local i key domain
  : >"$logs/accepted"
  for i in $(seq 60); do
    key="load-$i"
    domain="${domains[$((i % 3))]}"
    if [ "$i" -eq 30 ]; then
      kill_process e-a-1
      echo "  killed e-a-1"
    fi
    if [ "$(submit "$domain" "$key" 1000 | jq -r '.fate // "none"')" = \
      accepted ]; then
      echo "$key" >>"$logs/accepted"
    fi
  done
  echo "  $(wc -l <"$logs/accepted") of 60 submissions were accepted"
}

history_holds() {
  $bin/check_history --unfinished "$logs"/*.jsonl
}

stops_gracefully() {
  local code=0
  stop_process "$1" || code=$?
  [ "$code" -eq 0 ]
}

echo "starting the cell; logs are in $logs"
start_platform
mapfile -t ports < <(free_ports 6)
for i in 0 1 2; do
  start_entry "${domains[$i]}" "${ports[$((2 * i))]}" "${ports[$((2 * i + 1))]}"
done
for domain in "${domains[@]}"; do
  expect "e-$domain-1 is ready" eventually 20 is_ready "$domain"
done

echo "publishing the lists"
publish_lists
expect "both lists are in force on all VMs" eventually 5 lists_in_force

echo "a split preview"
expect "the preview got its own answer" eventually 10 preview_ran
cat "$logs/preview"
echo

echo "a nightly reconciliation"
submit a nightly-1 500
expect "the reconciliation finished" \
  eventually 20 has_fate c nightly-1 finished
call c GET /v1/tasks/k.kapwa-nightly.nightly-1

echo "load on all VMs, one of which is killed"
submit_under_load
start_entry a "${ports[0]}" "${ports[1]}"
expect "e-a-1 is ready again" eventually 20 is_ready a
expect "no accepted task is lost" eventually 60 all_finished

echo "stopping"
for domain in "${domains[@]}"; do
  expect "e-$domain-1 stops gracefully" stops_gracefully "e-$domain-1"
done
expect "no worker was overcommitted, no task ran in two places" history_holds

if [ "$failures" -gt 0 ]; then
  echo "demo: $failures expectations FAILED; logs are in $logs"
  exit 1
fi
rm -rf "$logs"
echo "demo: every expectation held"
