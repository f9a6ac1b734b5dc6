//! What a process owes the connections that it ends: nothing that lies unread, or has come in part, is lost with them.

mod fakes;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{scope, sleep};
use std::time::Duration;

use fakes::*;
use serde_json::json;

/// Answers every request at this app server while `work` goes on.
fn served_by(app: &App, work: impl FnOnce() + Send) {
    scope(|scope| {
        let work = scope.spawn(work);
        while !work.is_finished() {
            if let Some(seen) = app.poll_once() {
                seen.answer("200 OK", "", "ok");
            }
        }
        if let Err(panic) = work.join() {
            std::panic::resume_unwind(panic);
        }
    });
}

fn kept(edge: &Edge, count: usize) -> Vec<Client> {
    let mut clients: Vec<_> = (0..count).map(|_| edge.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.ask(&ask("post", &format!("first-{number}")));
        assert_eq!(client.answer().status(), 200);
    }
    clients
}

/// How many of these get no whole answer.
fn lost(clients: &mut [Client]) -> usize {
    clients.iter_mut().map(|client| usize::from(client.try_answer().is_none())).sum()
}

/// A node that stands still for this long: as long as it does, what comes lies unread.
fn still(edge: &Edge, time: Duration, meanwhile: impl FnOnce()) {
    edge.signal("STOP");
    meanwhile();
    // The stall itself; what it proves is told by the answers.
    sleep(time);
    edge.signal("CONT");
}

#[test]
fn what_comes_while_a_process_stands_still_in_its_stop_is_answered() {
    let folder = Folder::new();
    let app = App::new();
    let platform = TcpListener::bind("127.0.0.1:0").expect("a port");
    let edge = Edge::inheriting(&config(&[entry("s-1", app.address, "a", "up")]), &folder.0, &platform);
    served_by(&app, || {
        let mut clients = kept(&edge, 24);
        let silent: Vec<_> = (0..8).map(|_| edge.client()).collect();
        clients.extend(silent);
        // The last of them have been accepted by then.
        until("ready", || edge.call("GET", "/api/ready", "").0 == 200);
        edge.terminate();
        until("not ready", || edge.call("GET", "/api/ready", "").0 == 503);
        still(&edge, Duration::from_millis(1_200), || {
            for (number, client) in clients.iter_mut().enumerate() {
                client.ask(&ask("post", &format!("still-{number}")));
            }
        });
        assert_eq!(lost(&mut clients), 0, "of {} that had been written whole", clients.len());
    });
    assert!(edge.end().0.success());
}

#[test]
fn a_head_in_two_pieces_round_the_close_is_answered() {
    let folder = Folder::new();
    let app = App::new();
    let platform = TcpListener::bind("127.0.0.1:0").expect("a port");
    let edge = Edge::inheriting(&config(&[entry("s-1", app.address, "a", "up")]), &folder.0, &platform);
    served_by(&app, || {
        let mut clients = kept(&edge, 4);
        clients.extend((0..4).map(|_| edge.client()));
        let texts: Vec<_> = (0..8).map(|number| ask("post", &format!("half-{number}")).text()).collect();
        edge.terminate();
        until("not ready", || edge.call("GET", "/api/ready", "").0 == 503);
        // Idle connections are closed 0.45 to 1 s after SIGTERM; the heads begin before and end after that.
        sleep(Duration::from_millis(300));
        for (client, text) in clients.iter_mut().zip(&texts) {
            client.raw(&text[..40]);
        }
        sleep(Duration::from_millis(900));
        for (client, text) in clients.iter_mut().zip(&texts) {
            client.raw(&text[40..]);
        }
        assert_eq!(lost(&mut clients), 0);
    });
    assert!(edge.end().0.success());
}

#[test]
fn a_connection_is_not_closed_for_a_next_process_over_a_request_that_lies_unread() {
    let folder = Folder::new();
    let app = App::new();
    let mut config = config(&[entry("s-1", app.address, "a", "up")]);
    // Places for 67 clients or so, and for 22 once a second process claims its half.
    config["limits"] = json!({"cores": 1.0, "memory_mb": 64, "sockets": 172});
    let platform = TcpListener::bind("127.0.0.1:0").expect("a port");
    let old = Edge::inheriting(&config, &folder.0, &platform);
    served_by(&app, || {
        let mut clients = kept(&old, 60);
        old.signal("STOP");
        for (number, client) in clients.iter_mut().enumerate() {
            client.ask(&ask("post", &format!("unread-{number}")));
        }
        // It has claimed its half once it listens; the old one finds that out when it goes on.
        let new = Edge::inheriting(&config, &folder.0, &platform);
        sleep(Duration::from_millis(300));
        old.signal("CONT");
        assert_eq!(lost(&mut clients), 0);
        drop(new);
    });
}

#[test]
fn requests_are_answered_while_the_disk_stands_still() {
    let folder = Folder::new();
    let (app, other) = (App::new(), App::new());
    let platform = TcpListener::bind("127.0.0.1:0").expect("a port");
    let config = config(&[entry("s-1", app.address, "a", "up"), entry("s-2", other.address, "a", "up")]);
    let edge = Edge::inheriting(&config, &folder.0, &platform);
    // Who writes to a pipe that nobody reads stands still.
    for what in ["record", "held"] {
        let path = folder.0.join(format!("pinerelay-127.0.0.1-0.0.{what}.next"));
        let made = std::process::Command::new("mkfifo").arg(path).status().expect("mkfifo");
        assert!(made.success());
    }
    // What was learned is written within a second or so, and the call is to be written at once.
    let (status, why) = edge.call("POST", "/api/exclude", "s-2");
    assert!(status == 500 && why.contains("the disk stands still"), "{status} {why}");
    assert_eq!(edge.figure("members_unavailable"), 1.0, "it is held out here all the same");
    served_by(&app, || drop(kept(&edge, 20)));
    other.no_request();
    edge.terminate();
    assert!(edge.end().0.success());
}

/// Requests lie unread when a process goes on, and behind them what forbids their app server.
fn forbidden_while_still(tells: impl FnOnce(&Edge, &Lists) -> Option<TcpStream>) {
    let folder = Folder::new();
    let (first, second) = (App::new(), App::new());
    let entries = [entry("s-1", first.address, "a", "up"), entry("s-2", second.address, "a", "up")];
    let lists = Lists::new();
    let mut config = config(&entries);
    config["discovery"] = json!(lists.address.to_string());
    let edge = Edge::operated(&config, &folder.0);
    lists.watched_from(1);
    let (over, at_first) = (AtomicBool::new(false), AtomicUsize::new(0));
    let (over, at_first) = (&over, &at_first);
    scope(|scope| {
        scope.spawn(move || {
            while !over.load(Ordering::SeqCst) {
                if let Some(seen) = first.poll_once() {
                    at_first.fetch_add(1, Ordering::SeqCst);
                    seen.answer("200 OK", "", "ok");
                }
                if let Some(seen) = second.poll_once() {
                    seen.answer("200 OK", "", "ok");
                }
            }
        });
        let mut clients = kept(&edge, 32);
        let before = at_first.load(Ordering::SeqCst);
        let mut call = None;
        still(&edge, Duration::from_millis(1_300), || {
            for (number, client) in clients.iter_mut().enumerate() {
                client.ask(&ask("post", &format!("still-{number}")));
            }
            call = tells(&edge, &lists);
        });
        let lost = lost(&mut clients);
        if let Some(mut call) = call {
            let mut answer = String::new();
            call.read_to_string(&mut answer).expect("an answer");
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        }
        over.store(true, Ordering::SeqCst);
        assert_eq!((before > 0, lost), (true, 0));
        assert_eq!(at_first.load(Ordering::SeqCst), before, "sent to who had been forbidden 1.3 s before");
    });
}

#[test]
fn a_call_out_that_came_while_a_process_stood_still_holds_before_anything_goes_out() {
    forbidden_while_still(|edge, _| {
        let mut call = TcpStream::connect(edge.ops.expect("an operators' address")).expect("a connection");
        let text = "POST /api/exclude HTTP/1.1\r\nHost: ops\r\nContent-Length: 3\r\n\r\ns-1";
        call.write_all(text.as_bytes()).expect("written");
        Some(call)
    });
}

#[test]
fn a_drain_that_was_told_while_a_process_stood_still_holds_before_anything_goes_out() {
    forbidden_while_still(|_, lists| {
        lists.tell(entry("s-1", nobody(), "a", "draining"));
        None
    });
}

#[test]
fn a_call_out_in_the_last_moments_of_a_process_holds_at_the_next() {
    let folder = Folder::new();
    let entries: Vec<_> = (0..80).map(|n| entry(&format!("s-{n}"), nobody(), "a", "up")).collect();
    let config = config(&entries);
    let platform = TcpListener::bind("127.0.0.1:0").expect("a port");
    let old = Edge::inheriting(&config, &folder.0, &platform);
    until("ready", || old.call("GET", "/api/ready", "").0 == 200);
    let new = Edge::inheriting(&config, &folder.0, &platform);
    until("ready", || new.call("GET", "/api/ready", "").0 == 200);
    old.terminate();
    // One after the other until it has ended, some second later.
    let mut said = 0;
    while let Some((200, _)) = old.try_call("POST", "/api/exclude", &format!("s-{said}")) {
        said += 1;
        assert!(said < 80, "the old process goes on");
        sleep(Duration::from_millis(20));
    }
    assert!(old.end().0.success());
    assert!(said > 10, "{said} calls in its last second");
    // What it had done as it ended, without a word of it, may hold too.
    let hold = || new.figure("members_unavailable") as usize;
    until("all that it said yes to hold", || (said..=said + 1).contains(&hold()));
}
