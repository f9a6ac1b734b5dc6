//! Calls from outside, as the registry and the store read them.

use pinerelay_cells::judge::{self, Standing};
use pinerelay_cells::routes::Table;
use pinerelay_cells::{call, Cells};
use pinerelay_scout::dispatch;

use crate::json_text;
use crate::mutate::mutate;
use crate::random::Random;
use crate::reader::{Fault, Reader};

/// The body of a `config.update`: read, judged in both ways, taken, written, and read again.
pub struct Update;

impl Reader for Update {
    fn name(&self) -> &'static str {
        "update"
    }

    fn generate(&mut self, random: &mut Random) -> Vec<u8> {
        json_text::update(random)
    }

    fn check(&mut self, input: &[u8]) -> Result<(), Fault> {
        let Ok(items) = call::read(input) else { return Ok(()) };
        let whole = judge::taken(&Cells::default(), &items);
        // Of several faults each may tell another.
        let conflicts = |unfit: call::Unfit| unfit.conflict;
        if Standing::default().taken(&items).map_err(conflicts) != whole.clone().map_err(conflicts) {
            return Err("the judge by index says another thing than the one by all".into());
        }
        let Ok(newer) = whole else { return Ok(()) };
        let mut cells = Cells::default();
        cells.merge_all(newer);
        if !judge::taken(&cells, &items).is_ok_and(|again| again.is_empty()) {
            return Err("what was taken is not acknowledged again".into());
        }
        let table = Table::of(&cells);
        for tenant in table.tenants() {
            let odd = |c: char| !(' '..='~').contains(&c);
            if tenant.name.is_empty() || tenant.name.contains(odd) || tenant.name.trim() != tenant.name {
                return Err(format!("{:?} is taken, and X-Tenant can't hold it", tenant.name));
            }
        }
        let text = call::write(&cells);
        let again = call::read(format!("{{\"upsert\":{text}}}").as_bytes())
            .map_err(|unfit| format!("what was written can't be read: {unfit}"))?;
        let mut copy = Cells::default();
        copy.merge_all(again);
        let standing =
            |cells: &Cells| -> Vec<_> { cells.all().filter(|item| item.value.is_some()).cloned().collect() };
        if standing(&copy) != standing(&cells) {
            return Err("what was written reads otherwise than what was sent".into());
        }
        Ok(())
    }
}

/// A call with its method, path, query and body, one a line.
pub struct Dispatch;

impl Reader for Dispatch {
    fn name(&self) -> &'static str {
        "dispatch"
    }

    fn generate(&mut self, random: &mut Random) -> Vec<u8> {
        const QUERIES: [&str; 8] = [
            "call=servers.heartbeat&of=i-1",
            "call=servers.leave&of=i-1",
            "call=config.update",
            "call=config.read",
            "call=servers.heartbeat&of=",
            "of=%ff%00%zz&call=servers.leave",
            "call=servers.leave&of=%",
            "&&==&call",
        ];
        let mut head = format!("POST\n/-/rpc\n{}\n", random.of(&QUERIES)).into_bytes();
        if random.one_in(3) {
            let words: [&[u8]; 6] = [b"%00", b"%C3%A9", b"%", b"&of=", b"=", b"\xff"];
            mutate(random, &mut head, &words);
        }
        head.extend(json_text::beat(random));
        head
    }

    fn check(&mut self, input: &[u8]) -> Result<(), Fault> {
        let mut parts = input.splitn(4, |byte| *byte == b'\n');
        let mut text = || String::from_utf8_lossy(parts.next().unwrap_or_default()).into_owned();
        let (method, path, query) = (text(), text(), text());
        match dispatch::read(&method, &path, Some(&query), parts.next().unwrap_or_default()) {
            Ok(dispatch::Call::Beat(id, beat)) => {
                let item = beat.server.item(&id, beat.calls);
                let value = item.value.unwrap_or_default();
                match pinerelay_cells::server::Server::read(&value) {
                    Some(server) if server == beat.server => Ok(()),
                    _ => Err("a word is acknowledged, and others can't read what it says".into()),
                }
            }
            Ok(_) => Ok(()),
            Err((400..=499, _)) => Ok(()),
            Err((status, why)) => Err(format!("refused with {status}: {why}")),
        }
    }
}
