//! Stops and upgrades lose no request: not one that is unread, nor one partly received, when connections are closed.

mod fakes;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{scope, sleep};
use std::time::Duration;

use fakes::*;
use serde_json::json;

/// Answers every request at this app server while `work` goes on.
fn served_by(app: &AppServer, work: impl FnOnce() + Send) {
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

fn serve_clients(edge: &Edge, count: usize) -> Vec<Client> {
    let mut clients: Vec<_> = (0..count).map(|_| edge.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.ask(&ask("post", &format!("first-{number}")));
        assert_eq!(client.answer().status(), 200);
    }
    clients
}

/// How many of these clients get no complete answer.
fn lost(clients: &mut [Client]) -> usize {
    clients.iter_mut().map(|client| usize::from(client.try_answer().is_none())).sum()
}

/// Suspends the node for this long, so that what it receives stays unread.
fn suspend(edge: &Edge, time: Duration, meanwhile: impl FnOnce()) {
    edge.signal("STOP");
    meanwhile();
    // The length of the stall; the answers show its effect.
    sleep(time);
    edge.signal("CONT");
}

#[test]
fn requests_received_during_a_stall_in_the_stop_are_answered() {
    let folder = Folder::new();
    let app = AppServer::new();
    let platform = TcpListener::bind("127.0.0.1:0").expect("a port");
    let edge = Edge::inheriting(&config(&[entry("s-1", app.address, "a", "up")]), &folder.0, &platform);
    served_by(&app, || {
        let mut clients = serve_clients(&edge, 24);
        let silent: Vec<_> = (0..8).map(|_| edge.client()).collect();
        clients.extend(silent);
        // All of them have been accepted by then.
        until("ready", || edge.call("GET", "/api/ready", "").0 == 200);
        edge.terminate();
        until("not ready", || edge.call("GET", "/api/ready", "").0 == 503);
        suspend(&edge, Duration::from_millis(1_200), || {
            for (number, client) in clients.iter_mut().enumerate() {
                client.ask(&ask("post", &format!("still-{number}")));
            }
        });
        assert_eq!(lost(&mut clients), 0, "of {} that had been written completely", clients.len());
    });
    edge.end_in_success();
}

#[test]
fn a_head_split_across_the_close_of_idle_connections_is_answered() {
    let folder = Folder::new();
    let app = AppServer::new();
    let platform = TcpListener::bind("127.0.0.1:0").expect("a port");
    let edge = Edge::inheriting(&config(&[entry("s-1", app.address, "a", "up")]), &folder.0, &platform);
    served_by(&app, || {
        let mut clients = serve_clients(&edge, 4);
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
    edge.end_in_success();
}

#[test]
fn a_connection_with_an_unread_request_is_not_closed_for_the_next_process() {
    let folder = Folder::new();
    let app = AppServer::new();
    let mut config = config(&[entry("s-1", app.address, "a", "up")]);
    // Slots for 67 clients or so, and for 22 once a second process claims its half.
    config["limits"] = json!({"cores": 1.0, "memory_mb": 64, "sockets": 172});
    let platform = TcpListener::bind("127.0.0.1:0").expect("a port");
    let old = Edge::inheriting(&config, &folder.0, &platform);
    served_by(&app, || {
        let mut clients = serve_clients(&old, 60);
        old.signal("STOP");
        for (number, client) in clients.iter_mut().enumerate() {
            client.ask(&ask("post", &format!("unread-{number}")));
        }
        // The new process has claimed its half once it listens; the old one reads that when it resumes.
        let new = Edge::inheriting(&config, &folder.0, &platform);
        sleep(Duration::from_millis(300));
        old.signal("CONT");
        assert_eq!(lost(&mut clients), 0);
        drop(new);
    });
}

#[test]
fn requests_are_answered_while_the_disk_is_stalled() {
    let folder = Folder::new();
    let (app, other) = (AppServer::new(), AppServer::new());
    let platform = TcpListener::bind("127.0.0.1:0").expect("a port");
    let config = config(&[entry("s-1", app.address, "a", "up"), entry("s-2", other.address, "a", "up")]);
    let edge = Edge::inheriting(&config, &folder.0, &platform);
    // A write to a FIFO without a reader blocks.
    for what in ["record", "held"] {
        let path = folder.0.join(format!("pinerelay-127.0.0.1-0.0.{what}.next"));
        let made = std::process::Command::new("mkfifo").arg(path).status().expect("mkfifo");
        assert!(made.success());
    }
    // The learned state is written within a second or so, the call at once; both block.
    let (status, why) = edge.call("POST", "/api/exclude", "s-2");
    assert!(status == 500 && why.contains("the disk stands still"), "{status} {why}");
    assert_eq!(edge.metric("members_unavailable"), 1.0, "it is excluded here all the same");
    served_by(&app, || drop(serve_clients(&edge, 20)));
    other.no_request();
    edge.terminate();
    edge.end_in_success();
}

/// A process resumes with unread requests, and behind them an unread message that forbids their app server.
fn forbidden_during_stall(notify: impl FnOnce(&Edge, &DiscoveryServer) -> Option<TcpStream>) {
    let folder = Folder::new();
    let (first, second) = (AppServer::new(), AppServer::new());
    let entries = [entry("s-1", first.address, "a", "up"), entry("s-2", second.address, "a", "up")];
    let lists = DiscoveryServer::new();
    let mut config = config(&entries);
    config["discovery"] = json!(lists.address.to_string());
    let edge = Edge::with_operators(&config, &folder.0);
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
        let mut clients = serve_clients(&edge, 32);
        let before = at_first.load(Ordering::SeqCst);
        let mut call = None;
        suspend(&edge, Duration::from_millis(1_300), || {
            for (number, client) in clients.iter_mut().enumerate() {
                client.ask(&ask("post", &format!("still-{number}")));
            }
            call = notify(&edge, &lists);
        });
        let lost = lost(&mut clients);
        if let Some(mut call) = call {
            let mut answer = String::new();
            call.read_to_string(&mut answer).expect("an answer");
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        }
        over.store(true, Ordering::SeqCst);
        assert_eq!((before > 0, lost), (true, 0));
        assert_eq!(
            at_first.load(Ordering::SeqCst),
            before,
            "sent to a server that had been forbidden 1.3 s before"
        );
    });
}

#[test]
fn an_exclusion_received_during_a_stall_applies_before_any_request_is_sent() {
    forbidden_during_stall(|edge, _| {
        let mut call = TcpStream::connect(edge.ops.expect("an operators' address")).expect("a connection");
        let text = "POST /api/exclude HTTP/1.1\r\nHost: ops\r\nContent-Length: 3\r\n\r\ns-1";
        call.write_all(text.as_bytes()).expect("written");
        Some(call)
    });
}

#[test]
fn a_drain_received_during_a_stall_applies_before_any_request_is_sent() {
    forbidden_during_stall(|_, lists| {
        lists.publish(entry("s-1", refusing_address(), "a", "draining"));
        None
    });
}

#[test]
fn an_exclusion_in_the_last_second_of_a_process_holds_in_the_next() {
    let folder = Folder::new();
    let entries: Vec<_> = (0..80).map(|n| entry(&format!("s-{n}"), refusing_address(), "a", "up")).collect();
    let config = config(&entries);
    let platform = TcpListener::bind("127.0.0.1:0").expect("a port");
    let old = Edge::inheriting(&config, &folder.0, &platform);
    until("ready", || old.call("GET", "/api/ready", "").0 == 200);
    let new = Edge::inheriting(&config, &folder.0, &platform);
    until("ready", || new.call("GET", "/api/ready", "").0 == 200);
    old.terminate();
    // Calls one after the other until the process has ended, about a second later.
    let mut confirmed = 0;
    while let Some((200, _)) = old.try_call("POST", "/api/exclude", &format!("s-{confirmed}")) {
        confirmed += 1;
        assert!(confirmed < 80, "the old process goes on");
        sleep(Duration::from_millis(20));
    }
    old.end_in_success();
    assert!(confirmed > 10, "{confirmed} calls in its last second");
    // A call that it applied as it ended, without an answer, may hold too.
    let hold = || new.metric("members_unavailable") as usize;
    until("all confirmed exclusions hold", || (confirmed..=confirmed + 1).contains(&hold()));
}
