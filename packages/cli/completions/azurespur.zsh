#compdef azurespur
# zsh completion for azurespur. Made by `azurespur completion zsh`.
_azurespur() {
  local word path_so_far="" next candidates=""
  for word in "${(@)words[2,CURRENT-1]}"; do
    next="${path_so_far:+$path_so_far }$word"
    case "$next" in
      "submit"|"fate"|"cancel"|"request"|"lists"|"lists check"|"lists diff"|"lists publish"|"lists show"|"lists confirm"|"proposals"|"approve"|"status"|"accounts"|"dump"|"load"|"completion") path_so_far="$next" ;;
    esac
  done
  case "$path_so_far" in
    "") candidates="submit fate cancel request lists proposals approve status accounts dump load completion --help --server --timeout-ms --output" ;;
    "submit") candidates="--help --key --plan --name --kind --members --cpu-millis --memory-mb --accelerators --rack-limit --expected-ms --payload --non-idempotent --urgent --file --wait --wait-ms" ;;
    "fate") candidates="--help" ;;
    "cancel") candidates="--help" ;;
    "request") candidates="--help --plan --key --non-idempotent --deadline-ms --data --data-file" ;;
    "lists") candidates="check diff publish show confirm --help" ;;
    "lists check") candidates="plans allowances --help" ;;
    "lists diff") candidates="plans allowances --help --from --to" ;;
    "lists publish") candidates="plans allowances --help --base --author --confirm-ms" ;;
    "lists show") candidates="plans allowances --help --version" ;;
    "lists confirm") candidates="--help --wait-ms" ;;
    "proposals") candidates="--help" ;;
    "approve") candidates="--help --author" ;;
    "status") candidates="--help" ;;
    "accounts") candidates="--help" ;;
    "dump") candidates="--help" ;;
    "load") candidates="--help --requests-per-s --tasks-per-s --swing --swing-period-ms --duration-ms --settle-ms --max-in-flight --seed --plan --non-idempotent-share --deadline-ms --service-ms --run-ms --cpu-millis --memory-mb --history" ;;
    "completion") candidates="--help" ;;
  esac
  compadd -- ${=candidates}
  _files
}
compdef _azurespur azurespur
