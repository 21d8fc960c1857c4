# bash completion for azurespur. Made by `azurespur completion bash`.
_azurespur() {
  local word path="" next candidates=""
  for word in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
    next="${path:+$path }$word"
    case "$next" in
      "submit"|"fate"|"cancel"|"request"|"lists"|"lists check"|"lists diff"|"lists publish"|"lists show"|"lists confirm"|"proposals"|"approve"|"status"|"accounts"|"dump"|"load"|"completion") path="$next" ;;
    esac
  done
  case "$path" in
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
  COMPREPLY=($(compgen -W "$candidates" -- "${COMP_WORDS[COMP_CWORD]}"))
}
complete -o default -F _azurespur azurespur
