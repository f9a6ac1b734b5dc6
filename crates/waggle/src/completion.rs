//! Completion for shells.

use crate::command::{CONFIG, JOBS, KINDS, OPTIONS};

/// A script for bash, to be sourced.
pub fn bash() -> String {
    let kinds: Vec<&str> = KINDS.iter().map(|(name, _)| *name).collect();
    let options: Vec<String> = OPTIONS.iter().map(|name| format!("--{name}")).collect();
    format!(
        r#"_waggle() {{
    local word="${{COMP_WORDS[COMP_CWORD]}}" before="${{COMP_WORDS[COMP_CWORD-1]}}"
    case "$before" in
        config) COMPREPLY=($(compgen -W "{config}" -- "$word")) ;;
        items) COMPREPLY=($(compgen -W "{kinds} {options}" -- "$word")) ;;
        completion) COMPREPLY=($(compgen -W "bash" -- "$word")) ;;
        check|diff|apply|--settings|-s) COMPREPLY=($(compgen -f -- "$word")) ;;
        --at|-a|--internal|-i) COMPREPLY=() ;;
        waggle) COMPREPLY=($(compgen -W "{jobs} {options}" -- "$word")) ;;
        *) COMPREPLY=($(compgen -W "{options}" -- "$word")) ;;
    esac
}}
complete -F _waggle waggle
"#,
        config = CONFIG.join(" "),
        kinds = kinds.join(" "),
        options = options.join(" "),
        jobs = JOBS.join(" "),
    )
}
