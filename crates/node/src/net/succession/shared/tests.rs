use std::fs;
use std::io::Read;
use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::pin::pin;

use tokio::net::unix::pipe;

use super::*;

/// Real time after which a test fails that would wait forever.
const PATIENCE: Duration = Duration::from_secs(30);
/// Less than the call's wait, by more than the resolution of the timers.
const JUST_BEFORE_WAIT_ENDS: Duration = CALL_WAIT.saturating_sub(Duration::from_millis(10));

/// A folder of one process, removed after the test.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("pinerelay-shared-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }

    fn listen_address() -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], 3000))
    }

    fn join(&self) -> Shared {
        Shared::join(&self.0, Folder::listen_address(), 400).expect("a slot").0
    }

    /// Makes the next write of exclusions block until the returned function is called: its file is a full pipe. Danger: a
    /// FIFO made by a child process would disturb other tests, since the child inherits their file locks for a moment.
    async fn stall(&self) -> impl FnOnce() {
        let (writer, reader) = pipe::pipe().expect("a pipe");
        writer.writable().await.expect("an open pipe");
        let mut length = 0;
        while let Ok(written) = writer.try_write(&[0; 4096]) {
            length += written;
        }
        let opened_again = format!("/proc/self/fd/{}", writer.as_raw_fd());
        let path = self.0.join("pinerelay-127.0.0.1-3000.0.held.next");
        std::os::unix::fs::symlink(opened_again, path).expect("a link");
        let mut reader = fs::File::from(reader.into_blocking_fd().expect("a descriptor"));
        move || {
            reader.read_exact(&mut vec![0; length]).expect("what fills the pipe");
            // The write that was blocked still needs both ends.
            std::mem::forget((writer, reader));
        }
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Runs with a clock that jumps to the next timer whenever nothing else is left to do.
fn with_jumping_clock<T>(run: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    runtime.expect("a runtime").block_on(run)
}

/// Waits while the clock stands still, however long the disk takes.
async fn without_passing_time<T>(run: impl Future<Output = T>) -> T {
    // A paused clock does not jump while a blocking task runs.
    let (done, wait) = mpsc::channel::<()>();
    let holds_clock = tokio::task::spawn_blocking(move || wait.recv_timeout(PATIENCE).is_ok());
    let result = run.await;
    drop(done);
    holds_clock.await.expect("no panic");
    result
}

#[test]
fn a_call_is_not_answered_as_stalled_before_its_wait_is_over() {
    let folder = Folder::new("written");
    let (shared, next) = (folder.join(), folder.join());
    with_jumping_clock(async {
        for call in [Call::Exclude, Call::Include, Call::Exclude] {
            without_passing_time(shared.call("s-1", call)).await.expect("written at the first call");
        }
    });
    assert!(shared.is_excluded("s-1") && !next.is_excluded("s-1"));
    assert!(folder.join().is_excluded("s-1"), "the next process knows of it");
}

#[test]
fn a_call_on_a_stalled_disk_is_answered_after_its_wait_and_succeeds_when_repeated() {
    let folder = Folder::new("stalled");
    let shared = folder.join();
    with_jumping_clock(async {
        let resume = folder.stall().await;
        let mut call = pin!(shared.call("s-1", Call::Exclude));
        assert!(timeout(JUST_BEFORE_WAIT_ENDS, &mut call).await.is_err(), "answered too early");
        let error = call.await.expect_err("the write blocks");
        assert_eq!(
            (error.kind(), error.to_string().as_str()),
            (io::ErrorKind::TimedOut, "the disk stands still")
        );
        assert!(shared.is_excluded("s-1"), "it holds here all the same");
        resume();
        without_passing_time(shared.call("s-1", Call::Exclude)).await.expect("written once the disk goes on");
    });
    assert!(folder.join().is_excluded("s-1"), "the next process knows of it");
}
