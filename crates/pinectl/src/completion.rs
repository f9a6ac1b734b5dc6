//! Shell completion.

use crate::command::{COMMANDS, CONFIG_COMMANDS, KINDS, OPTIONS};

/// Returns the completion script for bash, which is to be sourced.
pub fn bash() -> String {
    let kinds: Vec<&str> = KINDS.iter().map(|(name, _)| *name).collect();
    let options: Vec<String> = OPTIONS.iter().map(|name| format!("--{name}")).collect();
    format!(
        r#"_pinectl() {{
    local word="${{COMP_WORDS[COMP_CWORD]}}" before="${{COMP_WORDS[COMP_CWORD-1]}}"
    case "$before" in
        config) COMPREPLY=($(compgen -W "{config}" -- "$word")) ;;
        items) COMPREPLY=($(compgen -W "{kinds} {options}" -- "$word")) ;;
        completion) COMPREPLY=($(compgen -W "bash" -- "$word")) ;;
        check|diff|apply|--settings|-s) COMPREPLY=($(compgen -f -- "$word")) ;;
        --at|-a|--internal|-i) COMPREPLY=() ;;
        pinectl) COMPREPLY=($(compgen -W "{commands} {options}" -- "$word")) ;;
        *) COMPREPLY=($(compgen -W "{options}" -- "$word")) ;;
    esac
}}
complete -F _pinectl pinectl
"#,
        config = CONFIG_COMMANDS.join(" "),
        kinds = kinds.join(" "),
        options = options.join(" "),
        commands = COMMANDS.join(" "),
    )
}
