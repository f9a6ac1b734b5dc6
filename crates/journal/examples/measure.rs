//! What a record costs in the journal and in a table of `redb`, and how long recovery takes; see docs/design/journal.md.
//!
//! `cargo run --release -p pinerelay-journal --example measure [FOLDER]`

use std::error::Error;
use std::path::Path;
use std::time::{Duration, Instant};

use pinerelay_journal::{Folder, Journal, Limits};
use redb::{Database, TableDefinition};

/// A usage record will be about as long.
const BODY: usize = 80;
const SPAN: Duration = Duration::from_secs(2);
const TABLE: TableDefinition<u64, &[u8]> = TableDefinition::new("records");

type Done<T> = Result<T, Box<dyn Error>>;

/// Processor time of this process so far, in microseconds, and bytes that it has had written to disk.
fn spent() -> Done<(f64, u64)> {
    let stat = std::fs::read_to_string("/proc/self/stat")?;
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
    let io = std::fs::read_to_string("/proc/self/io").unwrap_or_default();
    let written = io.lines().find_map(|l| l.strip_prefix("write_bytes: ")?.parse().ok()).unwrap_or(0);
    Ok((ticks * 10_000.0, written))
}

/// Commits groups of so many records for a while; prints what one record took.
fn row(name: &str, group: u64, mut commit: impl FnMut(u64) -> Done<()>) -> Done<()> {
    let (begun, (cpu, written)) = (Instant::now(), spent()?);
    let mut groups = 0;
    while begun.elapsed() < SPAN {
        commit(groups)?;
        groups += 1;
    }
    let (took, (cpu_now, written_now)) = (begun.elapsed().as_secs_f64(), spent()?);
    let records = (groups * group) as f64;
    println!(
        "{name:<8} {group:>4} a commit  {:>9.0} records/s  {:>7.2} us CPU a record  {:>6.1} bytes written a byte",
        records / took,
        (cpu_now - cpu) / records,
        (written_now - written) as f64 / (records * BODY as f64),
    );
    Ok(())
}

fn main() -> Done<()> {
    let place = std::env::args().nth(1).unwrap_or_else(|| std::env::temp_dir().display().to_string());
    let place = Path::new(&place).join(format!("pinerelay-measure-{}", std::process::id()));
    std::fs::create_dir_all(&place)?;
    let limits = Limits { segment: 8 << 20, bytes: 4 << 30 };
    for group in [1, 10, 100] {
        let (mut journal, _) = Journal::open(Folder::open(&place.join(format!("log-{group}")))?, limits)?;
        row("journal", group, |_| {
            for _ in 0..group {
                journal.append(&[7; BODY])?;
            }
            journal.commit()?;
            Ok(())
        })?;
        let table = Database::create(place.join(format!("table-{group}.redb")))?;
        row("redb", group, |groups| {
            let write = table.begin_write()?;
            {
                let mut records = write.open_table(TABLE)?;
                for i in 0..group {
                    records.insert(groups * group + i, &[7; BODY][..])?;
                }
            }
            write.commit()?;
            Ok(())
        })?;
    }
    for megabytes in [16_u64, 64, 256] {
        let path = place.join(format!("grown-{megabytes}"));
        let (mut journal, _) = Journal::open(Folder::open(&path)?, limits)?;
        let mut held = 0;
        while held < megabytes << 20 {
            for _ in 0..10_000 {
                journal.append(&[7; BODY])?;
            }
            journal.commit()?;
            held += 10_000 * (BODY as u64 + 25);
        }
        drop(journal);
        let begun = Instant::now();
        let (_, found) = Journal::open(Folder::open(&path)?, limits)?;
        println!(
            "recovery of {megabytes} MB, {} records: {:.2} s",
            found.next - 1,
            begun.elapsed().as_secs_f64()
        );
    }
    std::fs::remove_dir_all(&place)?;
    Ok(())
}
