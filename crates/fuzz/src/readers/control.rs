//! Calls from outside, as the registry and the store read them.

use pinerelay_config_state::routing_table::RoutingTable;
use pinerelay_config_state::validation::{self, IndexedItems};
use pinerelay_config_state::{operator_call, ItemSet, ValidationError};
use pinerelay_registry::control_call;

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
        let Ok(items) = operator_call::parse_update(input) else { return Ok(()) };
        let whole = validation::accept_update(&ItemSet::default(), &items);
        // Of several faults each may tell another.
        let conflicts = |unfit: ValidationError| unfit.is_conflict();
        if IndexedItems::default().accept_update(&items).map_err(conflicts)
            != whole.clone().map_err(conflicts)
        {
            return Err("the judge by index says another thing than the one by all".into());
        }
        let Ok(newer) = whole else { return Ok(()) };
        let mut cells = ItemSet::default();
        cells.merge_all(newer);
        if !validation::accept_update(&cells, &items).is_ok_and(|again| again.is_empty()) {
            return Err("what was taken is not acknowledged again".into());
        }
        let table = RoutingTable::from_items(&cells);
        for tenant in table.tenants() {
            let odd = |c: char| !(' '..='~').contains(&c);
            if tenant.name.is_empty() || tenant.name.contains(odd) || tenant.name.trim() != tenant.name {
                return Err(format!("{:?} is taken, and X-Tenant can't hold it", tenant.name));
            }
        }
        let text = operator_call::render_configuration(&cells);
        let again = operator_call::parse_update(format!("{{\"upsert\":{text}}}").as_bytes())
            .map_err(|unfit| format!("what was written can't be read: {unfit}"))?;
        let mut copy = ItemSet::default();
        copy.merge_all(again);
        let standing = |cells: &ItemSet| -> Vec<_> {
            cells.iter().filter(|item| item.value.is_some()).cloned().collect()
        };
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
        match control_call::parse(&method, &path, Some(&query), parts.next().unwrap_or_default()) {
            Ok(control_call::ControlCall::Heartbeat { id, heartbeat }) => {
                let item = heartbeat.server.to_item(&id, heartbeat.call_count);
                let value = item.value.unwrap_or_default();
                match pinerelay_config_state::server::Server::decode(&value) {
                    Some(server) if server == heartbeat.server => Ok(()),
                    _ => Err("a word is acknowledged, and others can't read what it says".into()),
                }
            }
            Ok(_) => Ok(()),
            Err(error) if matches!(error.status(), 400..=499) => Ok(()),
            Err(error) => Err(format!("rejected with {}: {error}", error.status())),
        }
    }
}
