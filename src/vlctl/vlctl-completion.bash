# Completion of vlctl for bash: source this file.
_vlctl() {
  local current=${COMP_WORDS[COMP_CWORD]} previous=${COMP_WORDS[COMP_CWORD - 1]}
  local commands
  commands=$(vlctl --help | sed -n '/^Subcommands:/,$s/^  \([a-z-]*\) .*/\1/p')
  case $previous in
    vlctl) COMPREPLY=($(compgen -W "$commands" -- "$current")) ;;
    get | delete)
      COMPREPLY=($(compgen -W "model version adapter pool route limits service" \
        -- "$current")) ;;
    rollout)
      COMPREPLY=($(compgen -W "$(vlctl rollout --help |
        sed -n '/^Subcommands:/,$s/^  \([a-z-]*\) .*/\1/p')" -- "$current")) ;;
    check-settings)
      COMPREPLY=($(compgen -W "vlentry vltarget" -- "$current")) ;;
    *) COMPREPLY=($(compgen -f -- "$current")) ;;
  esac
}
complete -F _vlctl vlctl
