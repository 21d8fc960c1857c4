#!/usr/bin/env bash
# Builds and starts a small cell on loopback addresses and keeps it until it is
# interrupted: stand-ins for the platform and three failure domains with one
# azurespurd each. Prints the setting by which `azurespur` finds it.
set -euo pipefail
cd "$(dirname "$0")/.."
source tools/lib.sh

tools/build.sh release >&2
bin=build/release/bin
logs="$(mktemp -d)"
trap kill_all EXIT
trap 'exit 0' INT TERM
domains=(a b c)
servers=()

# start_domain DOMAIN PORT PEER-PORT
start_domain() {
  local domain="$1" name="e-$1-1"
  start_process "workers-$domain" $bin/standin_workers --count 8 \
    --name-prefix "w-$domain-" --domain "$domain" --vm-list-url "$vm_list_url"
  start_process "executors-$domain" $bin/standin_executors --count 2 \
    --name-prefix "x-$domain-" --domain "$domain" --vm-list-url "$vm_list_url"
  curl -s -X PUT "$vm_list_url/vms/$name" --data-binary \
    "{\"kind\":\"entry\",\"address\":\"127.0.0.1:$2\",
      \"peer_address\":\"127.0.0.1:$3\",\"domain\":\"$domain\"}" >/dev/null
  start_process "$name" $bin/azurespurd --vm-id "$name" --domain "$domain" \
    --listen "127.0.0.1:$2" --peer-listen "127.0.0.1:$3" \
    --log-url "$log_url" --vm-list-url "$vm_list_url" \
    --max-request-time-ms 2000
  servers+=("127.0.0.1:$2")
}

start_process log $bin/standin_log --append-rate 300
start_process vmlist $bin/standin_vmlist
log_url="http://127.0.0.1:$(port_of log log)"
vm_list_url="http://127.0.0.1:$(port_of vmlist vmlist)"
mapfile -t ports < <(free_ports 6)
for i in 0 1 2; do
  start_domain "${domains[$i]}" "${ports[$((2 * i))]}" "${ports[$((2 * i + 1))]}"
done

echo "the cell runs until this command is interrupted; logs are in $logs"
echo "in another shell, from this folder:"
echo "  export PATH=\"\$PWD/$bin:\$PATH\""
(
  IFS=,
  echo "  export AZURESPUR_SERVER=${servers[*]}"
)
wait
