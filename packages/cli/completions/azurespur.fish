# fish completion for azurespur. Made by `azurespur completion fish`.
complete -c azurespur -n '__fish_use_subcommand' -a 'submit fate cancel request lists proposals approve status accounts dump load completion'
complete -c azurespur -n '__fish_use_subcommand' -l help
complete -c azurespur -n '__fish_use_subcommand' -l server
complete -c azurespur -n '__fish_use_subcommand' -l timeout-ms
complete -c azurespur -n '__fish_use_subcommand' -l output
complete -c azurespur -n '__fish_seen_subcommand_from submit' -l help
complete -c azurespur -n '__fish_seen_subcommand_from submit' -l key
complete -c azurespur -n '__fish_seen_subcommand_from submit' -l plan
complete -c azurespur -n '__fish_seen_subcommand_from submit' -l name
complete -c azurespur -n '__fish_seen_subcommand_from submit' -l kind
complete -c azurespur -n '__fish_seen_subcommand_from submit' -l members
complete -c azurespur -n '__fish_seen_subcommand_from submit' -l cpu-millis
complete -c azurespur -n '__fish_seen_subcommand_from submit' -l memory-mb
complete -c azurespur -n '__fish_seen_subcommand_from submit' -l accelerators
complete -c azurespur -n '__fish_seen_subcommand_from submit' -l rack-limit
complete -c azurespur -n '__fish_seen_subcommand_from submit' -l expected-ms
complete -c azurespur -n '__fish_seen_subcommand_from submit' -l payload
complete -c azurespur -n '__fish_seen_subcommand_from submit' -l non-idempotent
complete -c azurespur -n '__fish_seen_subcommand_from submit' -l urgent
complete -c azurespur -n '__fish_seen_subcommand_from submit' -l file
complete -c azurespur -n '__fish_seen_subcommand_from submit' -l wait
complete -c azurespur -n '__fish_seen_subcommand_from submit' -l wait-ms
complete -c azurespur -n '__fish_seen_subcommand_from fate' -l help
complete -c azurespur -n '__fish_seen_subcommand_from cancel' -l help
complete -c azurespur -n '__fish_seen_subcommand_from request' -l help
complete -c azurespur -n '__fish_seen_subcommand_from request' -l plan
complete -c azurespur -n '__fish_seen_subcommand_from request' -l key
complete -c azurespur -n '__fish_seen_subcommand_from request' -l non-idempotent
complete -c azurespur -n '__fish_seen_subcommand_from request' -l deadline-ms
complete -c azurespur -n '__fish_seen_subcommand_from request' -l data
complete -c azurespur -n '__fish_seen_subcommand_from request' -l data-file
complete -c azurespur -n '__fish_seen_subcommand_from lists' -a 'check diff publish show confirm'
complete -c azurespur -n '__fish_seen_subcommand_from lists' -l help
complete -c azurespur -n '__fish_seen_subcommand_from lists; and __fish_seen_subcommand_from check' -a 'plans allowances'
complete -c azurespur -n '__fish_seen_subcommand_from lists; and __fish_seen_subcommand_from check' -l help
complete -c azurespur -n '__fish_seen_subcommand_from lists; and __fish_seen_subcommand_from diff' -a 'plans allowances'
complete -c azurespur -n '__fish_seen_subcommand_from lists; and __fish_seen_subcommand_from diff' -l help
complete -c azurespur -n '__fish_seen_subcommand_from lists; and __fish_seen_subcommand_from diff' -l from
complete -c azurespur -n '__fish_seen_subcommand_from lists; and __fish_seen_subcommand_from diff' -l to
complete -c azurespur -n '__fish_seen_subcommand_from lists; and __fish_seen_subcommand_from publish' -a 'plans allowances'
complete -c azurespur -n '__fish_seen_subcommand_from lists; and __fish_seen_subcommand_from publish' -l help
complete -c azurespur -n '__fish_seen_subcommand_from lists; and __fish_seen_subcommand_from publish' -l base
complete -c azurespur -n '__fish_seen_subcommand_from lists; and __fish_seen_subcommand_from publish' -l author
complete -c azurespur -n '__fish_seen_subcommand_from lists; and __fish_seen_subcommand_from publish' -l confirm-ms
complete -c azurespur -n '__fish_seen_subcommand_from lists; and __fish_seen_subcommand_from show' -a 'plans allowances'
complete -c azurespur -n '__fish_seen_subcommand_from lists; and __fish_seen_subcommand_from show' -l help
complete -c azurespur -n '__fish_seen_subcommand_from lists; and __fish_seen_subcommand_from show' -l version
complete -c azurespur -n '__fish_seen_subcommand_from lists; and __fish_seen_subcommand_from confirm' -l help
complete -c azurespur -n '__fish_seen_subcommand_from lists; and __fish_seen_subcommand_from confirm' -l wait-ms
complete -c azurespur -n '__fish_seen_subcommand_from proposals' -l help
complete -c azurespur -n '__fish_seen_subcommand_from approve' -l help
complete -c azurespur -n '__fish_seen_subcommand_from approve' -l author
complete -c azurespur -n '__fish_seen_subcommand_from status' -l help
complete -c azurespur -n '__fish_seen_subcommand_from accounts' -l help
complete -c azurespur -n '__fish_seen_subcommand_from dump' -l help
complete -c azurespur -n '__fish_seen_subcommand_from load' -l help
complete -c azurespur -n '__fish_seen_subcommand_from load' -l requests-per-s
complete -c azurespur -n '__fish_seen_subcommand_from load' -l tasks-per-s
complete -c azurespur -n '__fish_seen_subcommand_from load' -l swing
complete -c azurespur -n '__fish_seen_subcommand_from load' -l swing-period-ms
complete -c azurespur -n '__fish_seen_subcommand_from load' -l duration-ms
complete -c azurespur -n '__fish_seen_subcommand_from load' -l settle-ms
complete -c azurespur -n '__fish_seen_subcommand_from load' -l max-in-flight
complete -c azurespur -n '__fish_seen_subcommand_from load' -l seed
complete -c azurespur -n '__fish_seen_subcommand_from load' -l plan
complete -c azurespur -n '__fish_seen_subcommand_from load' -l non-idempotent-share
complete -c azurespur -n '__fish_seen_subcommand_from load' -l deadline-ms
complete -c azurespur -n '__fish_seen_subcommand_from load' -l service-ms
complete -c azurespur -n '__fish_seen_subcommand_from load' -l run-ms
complete -c azurespur -n '__fish_seen_subcommand_from load' -l cpu-millis
complete -c azurespur -n '__fish_seen_subcommand_from load' -l memory-mb
complete -c azurespur -n '__fish_seen_subcommand_from load' -l history
complete -c azurespur -n '__fish_seen_subcommand_from completion' -l help
