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

# cli DOMAIN ARGUMENT...: the command line, asking the VM of one domain
cli() {
  local domain="$1"
  shift
  $bin/azurespur --server "${entry[$domain]}" "$@"
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

publish_lists() {
  cat >"$logs/allowances.json" <<'JSON'
{"allowances": [
  {"id": "table", "request_class": "preview", "requests_per_s": 500,
   "burst": 100, "max_waiting": 500, "deadline_ms": 5000},
  {"id": "night", "cpu_millis": 1000000, "memory_mb": 1000000,
   "max_tasks": 1000}]}
JSON
  cat >"$logs/plans.json" <<'JSON'
{"plans": [
  {"id": "kapwa-preview", "customer": "kapwa", "allowance": "table"},
  {"id": "kapwa-nightly", "customer": "kapwa", "allowance": "night"}]}
JSON
  cli a lists publish allowances "$logs/allowances.json" --base 0 \
    --author demo --confirm-ms 5000 &&
    cli a lists publish plans "$logs/plans.json" --base 0 --author demo \
      --confirm-ms 5000
}

lists_in_force() {
  cli b lists confirm
}

preview_ran() {
  cli a request --plan kapwa-preview --data \
    '{"key":"preview-1","fares":[120,80,95]}' >"$logs/preview" 2>&1
}

# submit DOMAIN KEY RUN-MS
submit() {
  cli "$1" submit --key "$2" --plan kapwa-nightly --name reconciliation \
    --cpu-millis 4000 --memory-mb 2000 --non-idempotent --payload "run_ms=$3"
}

# has_fate DOMAIN KEY FATE
has_fate() {
  [ "$(cli "$1" --output json fate "k.kapwa-nightly.$2" 2>/dev/null |
    jq -r .fate)" = "$3" ]
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
    if submit "$domain" "$key" 1000 >/dev/null 2>&1; then
      echo "$key" >>"$logs/accepted"
    fi
  done
  echo "  $(wc -l <"$logs/accepted") of 60 submissions were accepted"
}

# says_in_a_line EXIT-CODE TEXT COMMAND...: one line on standard error with TEXT
says_in_a_line() {
  local wanted="$1" text="$2" code=0
  shift 2
  "$@" >/dev/null 2>"$logs/mistake" || code=$?
  sed 's/^/    /' "$logs/mistake"
  [ "$code" -eq "$wanted" ] && [ "$(wc -l <"$logs/mistake")" -eq 1 ] &&
    grep -qF -- "$text" "$logs/mistake"
}

bad_flag() {
  $bin/azurespurd --vm-id e-d-1 --domain d --listen 127.0.0.1:x \
    --peer-listen 127.0.0.1:0 --log-url "$log_url" \
    --vm-list-url "$vm_list_url"
}

port_in_use() {
  $bin/azurespurd --vm-id e-d-1 --domain d --listen "${entry[b]}" \
    --peer-listen 127.0.0.1:0 --log-url "$log_url" \
    --vm-list-url "$vm_list_url"
}

malformed_list() {
  cat >"$logs/bad.json" <<'JSON'
{"plans": [{"id": "p", "customer": "c", "allowance": "table", "weight": 2}]}
JSON
  cli a lists check plans "$logs/bad.json"
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
expect "both lists are accepted" publish_lists
expect "both lists are in force on all VMs" eventually 5 lists_in_force

echo "a split preview"
expect "the preview got its own answer" eventually 10 preview_ran
cat "$logs/preview"
echo

echo "a nightly reconciliation"
expect "the reconciliation is accepted" submit a nightly-1 500
expect "the reconciliation finished" \
  eventually 20 has_fate c nightly-1 finished
cli c fate k.kapwa-nightly.nightly-1

echo "load on all VMs, one of which is killed"
submit_under_load
start_entry a "${ports[0]}" "${ports[1]}"
expect "e-a-1 is ready again" eventually 20 is_ready a
expect "no accepted task is lost" eventually 60 all_finished

echo "status"
$bin/azurespur --server "${entry[a]}" --server "${entry[b]}" \
  --server "${entry[c]}" status

echo "mistakes"
expect "a bad flag is named" says_in_a_line 2 --listen bad_flag
expect "a port in use is named" says_in_a_line 1 "${entry[b]}" port_in_use
expect "a malformed list is named" says_in_a_line 2 weight malformed_list

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
