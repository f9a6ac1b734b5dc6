//! The kit as a program: short rehearsals with the real daemon, and what it does when things hang or are cut short.

use std::io::{BufRead, BufReader, Read};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde_json::Value;

/// Far longer than any of this takes, on however slow a machine.
const PATIENCE: Duration = Duration::from_secs(120);

fn kit() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pinerelay-rehearsal"));
    command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

/// A folder of a test's own.
fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("rehearsal-test-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&path).expect("a folder");
    path
}

fn word(path: &Path) -> &str {
    path.to_str().expect("UTF-8")
}

/// Waits for a child, for as long as it may take at most.
fn wait(mut child: Child) -> Output {
    let until = Instant::now() + PATIENCE;
    while child.try_wait().expect("a child").is_none() {
        if Instant::now() > until {
            let _ = child.kill();
            panic!("the kit hangs");
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    child.wait_with_output().expect("its output")
}

/// One at a time: on a machine of two cores, rehearsals beside each other are late by what the judge would blame
/// on the node.
static STAGE: Mutex<()> = Mutex::new(());

/// Plays a scenario of this text; the exit code, and the report.
fn play(name: &str, text: &str) -> (Option<i32>, Value) {
    let _alone = STAGE.lock().unwrap_or_else(PoisonError::into_inner);
    let dir = folder(name);
    let scenario = dir.join(format!("{name}.toml"));
    std::fs::write(&scenario, text).expect("a file");
    let out =
        wait(kit().args(["run", word(&scenario), "--quiet", "--out", word(&dir)]).spawn().expect("the kit"));
    let report = std::fs::read(dir.join(format!("{name}-1.json")));
    let report = report.map(|r| serde_json::from_slice(&r).expect("JSON")).unwrap_or_default();
    let page = std::fs::read_to_string(dir.join(format!("{name}-1.html"))).unwrap_or_default();
    std::fs::remove_dir_all(dir).expect("the folder");
    assert!(page.is_empty() || page.ends_with("</html>"));
    println!("{}{}", String::from_utf8_lossy(&out.stdout), String::from_utf8_lossy(&out.stderr));
    (out.status.code(), report)
}

/// A small fleet and load, which any machine bears; lateness up to a second says something here all the same.
fn small(faults: &str) -> String {
    format!(
        "title = \"a short one\"\nseconds = 4\n[fleet]\nboxes = 6\nnodes = 2\nwork = 0.2\n[load]\nrate = 60\n\
         shape = [[0, 1]]\n[judge]\nlate_most = \"1s\"\n{faults}"
    )
}

fn fault(kind: &str, rest: &str) -> String {
    format!("[[fault]]\nkind = \"{kind}\"\nat = \"1s\"\n{rest}\n")
}

fn kept(name: &str, faults: &str) -> Value {
    let (code, report) = play(name, &small(faults));
    assert_eq!(report["verdict"], "kept", "{name}: {}", report["judgement"]["breaches"]);
    assert_eq!(code, Some(0));
    assert_eq!(report["schema"], 1);
    let offered = report["judgement"]["service"]["offered"].as_u64().expect("a number");
    assert!(offered > 100, "{name}: {offered} requests");
    report
}

#[test]
fn boxes_that_hang_fail_reset_and_spoil_break_no_rule() {
    let faults = [
        fault("hang", "for = \"1s\"\nboxes = 1"),
        fault("fail_fast", "for = \"2s\"\nshare = 0.5\nboxes = 1"),
        fault("resets", "for = \"2s\"\nshare = 0.1"),
        fault("spoil", "for = \"2s\"\nshare = 0.05"),
        fault("slow", "for = \"1s\"\ntimes = 3\nboxes = 2"),
    ];
    kept("boxes", &faults.concat());
}

#[test]
fn boxes_that_all_stall_for_a_minute_do_not_hold_up_the_kit() {
    let report = kept("stall", &fault("hang", "for = \"1m\""));
    let ended = report["bands"][0]["to"].as_f64().expect("a time");
    assert!(ended < 40.0, "the fault went on for {ended} s");
    let failed = &report["judgement"]["service"]["classes"][2]["failed"];
    assert!(failed.as_u64() > Some(0), "payment-posts that a box took and never answered have failed");
}

#[test]
fn boxes_that_drain_stop_and_restart_cold_break_no_rule() {
    let faults = [
        fault("drains", "for = \"1s\"\nboxes = 1"),
        fault("stop", "for = \"2s\"\nboxes = 1\nhall = \"hall-b\""),
        fault("restarts", "for = \"1s\"\nboxes = 1"),
        fault("discovery_late", "for = \"1s\"\nby = \"300ms\""),
    ];
    let report = kept("fleet", &faults.concat());
    let cold = report["judgement"]["looked_at"][3][1].as_u64().expect("a number");
    assert!(cold >= 2, "{cold} cold starts");
}

#[test]
fn a_counter_that_slows_loses_and_moves_and_traffic_that_shifts_break_no_rule() {
    let faults = [
        fault("counter_slow", "for = \"1s\"\ntimes = 5"),
        fault("counter_loses", "share = 0.8"),
        fault("counter_refuses", "for = \"300ms\""),
        fault("counter_moves", ""),
        fault("discovery_moves", ""),
        fault("shift", "for = \"1s\"\nshare = 1"),
        fault("gather", "for = \"1s\"\nshare = 0.5"),
    ];
    kept("counter", &faults.concat());
}

#[test]
fn nodes_that_are_killed_and_restarted_and_rude_clients_break_no_rule() {
    let faults = [
        fault("node_kill", "for = \"1s\"\nnode = 1"),
        fault("rude", "for = \"1s\"\ntimes = 30"),
        fault("silent", "for = \"1s\"\ntimes = 10"),
    ];
    let report = kept("nodes", &faults.concat());
    let rude = &report["judgement"]["service"]["rude"];
    assert!(rude[1].as_u64() > Some(0) && rude[0] == 0, "{rude}");
}

#[test]
fn processes_that_follow_each_other_break_no_rule_though_they_stand_still() {
    let faults = [
        fault("upgrade", ""),
        fault("still", "for = \"3s\"\ntimes = 2\nby = \"120ms\""),
        fault("held_out", "for = \"1s\"\nboxes = 1"),
    ];
    kept("upgrade", &faults.concat().replace("at = \"1s\"", "at = \"500ms\""));
    kept("upgrade-in-upgrade", &fault("upgrade_in_upgrade", ""));
}

#[test]
fn a_fleet_of_many_nodes_that_loses_a_hall_and_the_counter_breaks_no_rule() {
    let faults = [
        "[[load.surge]]\nat = \"1s\"\nfor = \"2s\"\nplan = \"enterprise\"\ntimes = 6\n".to_string(),
        fault("stop", "for = \"1s\"\nhall = \"hall-b\"").replace("at = \"1s\"", "at = \"500ms\""),
        fault("counter_silent", "for = \"2s\""),
    ];
    let text = small(&faults.concat())
        .replace("nodes = 2", "nodes = 16")
        .replace("rate = 60", "rate = 90\nuneven = 0.4");
    let (code, report) = play("many", &text);
    assert_eq!((code, &report["verdict"]), (Some(0), &"kept".into()), "{}", report["judgement"]["breaches"]);
}

#[test]
fn a_class_that_comes_by_sighup_is_served_and_a_broken_file_changes_nothing() {
    let text = fault("retune", "for = \"3s\"").replace("at = \"1s\"", "at = \"100ms\"");
    let report = kept("retune", &text);
    let added = &report["judgement"]["service"]["classes"][3];
    assert!(added["served"].as_u64() > Some(10), "{added}");
}

#[test]
fn next_processes_that_fail_break_no_rule() {
    kept("upgrade-fails", &fault("upgrade_fails", ""));
}

#[test]
fn a_node_that_breaks_off_is_found_and_the_exit_code_tells() {
    // A stand-in for a node that is up, takes what comes and answers nothing: not ours, and no verdict of `kept`.
    let dir = folder("mute");
    let program = dir.join("mute");
    let script = "#!/usr/bin/env python3\nimport json, os, socket, sys, threading\n\
        s = socket.socket(); s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)\n\
        host, port = json.load(open(os.environ['PROXY_CONFIG']))['listen'].split(':')\n\
        s.bind((host, int(port))); s.listen(512)\n\
        print('pinerelay: listening on %s:%d' % s.getsockname(), file=sys.stderr, flush=True)\n\
        def serve(c):\n    while True:\n        b = c.recv(65536)\n        if not b: return\n\
        \x20       if b.startswith(b'GET /up'): c.sendall(b'HTTP/1.1 200 OK\\r\\nContent-Length: 0\\r\\n\\r\\n')\n\
        while True:\n    c, _ = s.accept()\n    threading.Thread(target=serve, args=(c,), daemon=True).start()\n";
    if Command::new("python3").arg("--version").output().is_err() {
        return;
    }
    std::fs::write(&program, script).expect("a file");
    let executable = std::os::unix::fs::PermissionsExt::from_mode(0o755);
    std::fs::set_permissions(&program, executable).expect("an executable");
    let words = ["run", "calm", "--seconds", "1", "--quiet", "--node", word(&program), "--out", word(&dir)];
    let out = wait(kit().args(words).spawn().expect("the kit"));
    let said = String::from_utf8_lossy(&out.stdout).into_owned();
    std::fs::remove_dir_all(dir).expect("the folder");
    assert_eq!(out.status.code(), Some(1), "{out:?}");
    assert!(said.contains("BROKEN: no answer in time"), "{said}");
}

#[test]
fn boxes_held_out_by_hand_are_left_alone_in_a_short_rehearsal() {
    let dir = folder("held-out");
    let scenario = dir.join("short.toml");
    let text = "title = \"short\"\nseconds = 4\n[fleet]\nwork = 0.3\n[load]\nrate = 60\n[judge]\nlate_most = \"150ms\"\n\
                [[fault]]\nkind = \"held_out\"\nat = \"500ms\"\nfor = \"600ms\"\nboxes = 2\n";
    std::fs::write(&scenario, text).expect("a file");
    let words = ["run", word(&scenario), "--out", word(&dir)];
    let out = wait(kit().args(words).spawn().expect("the kit"));
    let said = String::from_utf8_lossy(&out.stdout).into_owned();
    std::fs::remove_dir_all(dir).expect("the folder");
    assert_eq!(out.status.code(), Some(0), "{said}");
    assert!(said.contains("(2 cold starts)"), "{said}");
}

#[test]
fn a_program_that_is_no_node_ends_the_rehearsal_with_no_verdict() {
    let dir = folder("none");
    for program in ["/bin/false", "/nonexistent/node"] {
        let words = ["run", "calm", "--seconds", "1", "--quiet", "--node", program, "--out", word(&dir)];
        let out = wait(kit().args(words).spawn().expect("the kit"));
        assert_eq!(out.status.code(), Some(3), "{out:?}");
    }
    std::fs::remove_dir_all(dir).expect("the folder");
}

/// The processes that this one has started, and theirs.
fn children(of: u32) -> Vec<u32> {
    let direct = std::fs::read_to_string(format!("/proc/{of}/task/{of}/children")).unwrap_or_default();
    let mut all: Vec<u32> = direct.split_whitespace().filter_map(|p| p.parse().ok()).collect();
    if all.is_empty() {
        // Any of its threads may have started them.
        let threads = std::fs::read_dir(format!("/proc/{of}/task")).into_iter().flatten().flatten();
        for thread in threads {
            let text = std::fs::read_to_string(thread.path().join("children")).unwrap_or_default();
            all.extend(text.split_whitespace().filter_map(|p| p.parse::<u32>().ok()));
        }
    }
    all
}

fn lives(process: u32) -> bool {
    let state = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    state.rsplit(") ").next().is_some_and(|rest| !rest.is_empty() && !rest.starts_with('Z'))
}

/// Starts a long rehearsal and waits until its load runs; the kit, its nodes, and its folder.
fn running(name: &str) -> (Child, Vec<u32>, PathBuf) {
    let dir = folder(name);
    let mut child =
        kit().args(["run", "calm", "--seconds", "600", "--out", word(&dir)]).spawn().expect("the kit");
    let mut said = BufReader::new(child.stderr.take().expect("its words"));
    let mut line = String::new();
    while !line.contains("s of 600") {
        line.clear();
        assert!(said.read_line(&mut line).expect("a line") > 0, "the kit has ended");
    }
    std::thread::spawn(move || said.read_to_end(&mut Vec::new()));
    let nodes = children(child.id());
    assert_eq!(nodes.len(), 3, "three nodes");
    (child, nodes, dir)
}

fn signal(process: u32, name: &str) {
    assert!(Command::new("sh")
        .args(["-c", &format!("kill -{name} {process}")])
        .status()
        .expect("a shell")
        .success());
}

fn all_gone(nodes: &[u32]) {
    let until = Instant::now() + PATIENCE;
    while nodes.iter().any(|&n| lives(n)) {
        assert!(Instant::now() < until, "nodes are left");
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn a_rehearsal_that_is_cut_short_says_so_and_leaves_nothing() {
    let (child, nodes, dir) = running("cut");
    signal(child.id(), "INT");
    let out = wait(child);
    all_gone(&nodes);
    let said = String::from_utf8_lossy(&out.stdout).into_owned();
    let report = std::fs::read_to_string(dir.join("calm-1.json")).expect("a report");
    std::fs::remove_dir_all(dir).expect("the folder");
    assert_eq!(out.status.code(), Some(3));
    assert!(said.contains("no verdict: it was cut short") && !said.contains("kept"), "{said}");
    assert!(report.contains("it was cut short") && !report.contains("\"kept\""), "{report}");
}

#[test]
fn a_kit_that_is_killed_leaves_no_nodes() {
    let (mut child, nodes, dir) = running("killed");
    child.kill().expect("a child");
    child.wait().expect("a child");
    all_gone(&nodes);
    std::fs::remove_dir_all(dir).expect("the folder");
}

#[test]
fn nodes_that_hang_end_no_later_than_their_limit() {
    // Stopped processes answer nothing, and no SIGTERM ends them.
    let (child, nodes, dir) = running("hung");
    nodes.iter().for_each(|&n| signal(n, "STOP"));
    signal(child.id(), "TERM");
    let out = wait(child);
    all_gone(&nodes);
    std::fs::remove_dir_all(dir).expect("the folder");
    assert_eq!(out.status.code(), Some(3));
}

#[test]
fn a_kit_that_was_too_late_gives_no_verdict() {
    let (code, report) = play("late", &small("").replace("\"1s\"", "\"0ms\""));
    let why = report["verdict"]["none"].as_str().expect("a reason");
    assert!(why.starts_with("the kit itself was ") && why.ends_with("0 us are allowed"), "{why}");
    assert!(report["judgement"].is_null());
    assert_eq!(code, Some(3));
}

#[test]
fn captured_load_is_found_beside_its_scenario_and_what_is_wrong_with_it_is_told() {
    let dir = folder("capture");
    let line = |plan: &str| {
        format!("{{\"t_ms\":5,\"biller\":\"00000000000000ab\",\"plan\":\"{plan}\",\"class\":\"bill-lookup\",\"units\":1}}\n")
    };
    let scenario = dir.join("captured.toml");
    std::fs::write(&scenario, "title = \"t\"\nseconds = 1\n[load]\nreplay = \"day.jsonl\"\n")
        .expect("a file");
    let check = |lines: &str| {
        std::fs::write(dir.join("day.jsonl"), lines).expect("a file");
        wait(kit().args(["check", word(&scenario)]).spawn().expect("the kit"))
    };
    let out = check(&(line("basic") + &line("business")));
    assert!(String::from_utf8_lossy(&out.stdout).contains("valid, 2 requests"), "{out:?}");
    let out = check(&(line("basic") + &line("gold")));
    assert_eq!(out.status.code(), Some(2));
    let said = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(said.contains("day.jsonl:2: plan: \"gold\" does not exist"), "{said}");
    std::fs::remove_dir_all(dir).expect("the folder");
}

#[test]
fn words_that_name_no_scenario_and_files_that_are_none_are_refused() {
    let dir = folder("words");
    let wrong = dir.join("wrong.toml");
    std::fs::write(&wrong, "title = \"t\"\nseconds = 0\n").expect("a file");
    let rows = [
        (vec!["run", "no-such"], "neither a bundled scenario"),
        (vec!["check", word(&wrong)], "seconds: 1 to 3600 is wanted, not 0"),
        (vec!["show", "no-such"], "no bundled scenario is called"),
    ];
    for (words, wanted) in rows {
        let out = wait(kit().args(&words).spawn().expect("the kit"));
        let said = String::from_utf8_lossy(&out.stderr).into_owned();
        assert_eq!(out.status.code(), Some(2), "{words:?}");
        assert!(said.contains(wanted), "{said:?} lacks {wanted:?}");
    }
    std::fs::remove_dir_all(dir).expect("the folder");
    let out = wait(kit().args(["check", "calm", "bad-hour"]).spawn().expect("the kit"));
    assert_eq!(out.status.code(), Some(0));
}
