//! Plays hostile input: `fuzz --reader NAME --cases N --seed S`.

use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::Instant;

use getopts::{Matches, Options};
use pinerelay_fuzz::apart::{self, Chunk};
use pinerelay_fuzz::{proxy, readers, run};

#[global_allocator]
static COUNTED: &stats_alloc::StatsAlloc<std::alloc::System> = run::COUNTED;

/// So many cases are played by one child process: of a reader without sockets, and of one with them.
const CHUNK: u64 = 50_000;
const CHUNK_OF_SOCKETS: u64 = 500;

fn main() -> ExitCode {
    if std::env::var_os(proxy::AS_PROXY).is_some() {
        return proxy::serve();
    }
    let mut options = Options::new();
    options.optmulti("r", "reader", "what is played; without it, all", "NAME");
    options.optopt("n", "cases", "how many inputs, for each reader (10000)", "N");
    options.optopt("s", "seed", "another for other inputs (1)", "S");
    options.optopt("f", "from", "the first case (0)", "N");
    options.optopt("t", "threads", "processes at once (1)", "N");
    options.optopt("i", "input", "play the bytes of this file instead", "FILE");
    options.optopt("w", "write", "write the input of --seed, as a find names it, to this file", "FILE");
    options.optflag("", apart::CHILD, "play in this process");
    options.optflag("h", "help", "print this and end");
    let found = match options.parse(std::env::args().skip(1)) {
        Ok(found) if !found.opt_present("h") => found,
        Ok(_) => {
            println!("{}", options.usage("usage: fuzz [OPTIONS]"));
            println!("readers: {} {}", readers::PURE.join(" "), readers::SOCKETS.join(" "));
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("fuzz: {error}");
            return ExitCode::from(2);
        }
    };
    match follow(&found) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("fuzz: {error}");
            ExitCode::from(2)
        }
    }
}

fn number(found: &Matches, name: &str, default: u64) -> Result<u64, String> {
    found.opt_str(name).map_or(Ok(default), |text| {
        text.parse().map_err(|_| format!("--{name}: a whole number is wanted, not {text:?}"))
    })
}

/// How many finds there were.
fn follow(found: &Matches) -> Result<u64, String> {
    let program = std::env::current_exe().map_err(|error| error.to_string())?;
    let (seed, from) = (number(found, "seed", 1)?, number(found, "from", 0)?);
    let cases = number(found, "cases", 10_000)?;
    let mut names = found.opt_strs("reader");
    if names.is_empty() {
        names = readers::PURE.iter().chain(&readers::SOCKETS).map(|name| name.to_string()).collect();
    }
    if let (Some(path), [name]) = (found.opt_str("input"), &names[..]) {
        let mut reader = readers::named(name, &program).ok_or(format!("there is no reader {name}"))?;
        let input = std::fs::read(&path).map_err(|error| format!("{path}: {error}"))?;
        return Ok(run::play(&mut *reader, &input).map_or_else(
            |fault| {
                println!("{name}: {fault}");
                1
            },
            |()| 0,
        ));
    }
    let mut finds = 0;
    for name in &names {
        let mut reader = readers::named(name, &program).ok_or(format!("there is no reader {name}"))?;
        if let Some(path) = found.opt_str("write") {
            std::fs::write(&path, run::input(&mut *reader, seed))
                .map_err(|error| format!("{path}: {error}"))?;
            continue;
        }
        if found.opt_present(apart::CHILD) {
            std::panic::set_hook(Box::new(|_| {}));
            run::cases(&mut *reader, seed, from, from + cases, |find| {
                finds += 1;
                println!("{}: seed {}: {}", find.reader, find.seed, find.fault);
            });
            continue;
        }
        drop(reader);
        let begun = Instant::now();
        let threads = number(found, "threads", 1)?.max(1);
        let of_reader = in_parts(&program, name, (seed, from, cases), threads)?;
        println!("{name}: {cases} cases, {of_reader} finds, {:.1} s", begun.elapsed().as_secs_f64());
        finds += of_reader;
    }
    Ok(finds)
}

/// Plays the cases of a reader in child processes, some at once.
fn in_parts(
    program: &std::path::Path,
    name: &str,
    (run, from, cases): (u64, u64, u64),
    threads: u64,
) -> Result<u64, String> {
    let size = if readers::SOCKETS.contains(&name) { CHUNK_OF_SOCKETS } else { CHUNK };
    let (next, finds, failed) = (AtomicU64::new(from), AtomicU64::new(0), Mutex::new(None));
    let end = from + cases;
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let from = next.fetch_add(size, Ordering::Relaxed);
                if from >= end {
                    return;
                }
                let chunk = Chunk { reader: name, run, from, to: (from + size).min(end) };
                let mut found = |line: String| {
                    finds.fetch_add(1, Ordering::Relaxed);
                    println!("{line}");
                };
                if let Err(error) = apart::play(program, chunk, &mut found) {
                    *failed.lock().unwrap_or_else(|broken| broken.into_inner()) = Some(error.to_string());
                    return;
                }
            });
        }
    });
    let failed = failed.into_inner().unwrap_or_else(|broken| broken.into_inner());
    failed.map_or(Ok(finds.into_inner()), Err)
}
