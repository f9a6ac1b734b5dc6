//! What lies in memory and on disk from an earlier time: items, and the database that holds them.

use std::path::PathBuf;

use pinerelay_config_state::routing_table::RoutingTable;
use pinerelay_config_state::server::Server;
use pinerelay_config_state::validation::IndexedItems;
use pinerelay_config_state::{operator_call, Item, ItemSet, Kind};
use pinerelay_config_store::disk::{Disk, OpenedDisk};
use pinerelay_consensus::StateChange;
use pinerelay_consensus::{Ballot, Membership};

use crate::mutate::mutate;
use crate::random::Random;
use crate::reader::{Fault, Reader};
use crate::speeches;

/// Items in the encoding of the wire and of the disk, which stand beside each other.
pub struct Items;

/// What is beside an odd item and must not be lost by it.
const BESIDE: &str = r#"{"upsert":{"routes":{"column_names":["name","host","path_prefix","route_type","timeout","service","revision"],"records":[["beside-route","beside.example","/b/","safe","1s","beside-service",18446744073709551615]]},"tenants":{"column_names":["name","api_keys","revision"],"records":[["beside-tenant",["beside-key"],18446744073709551615]]},"services":{"column_names":["name","revision"],"records":[["beside-service",18446744073709551615]]}}}"#;

impl Reader for Items {
    fn name(&self) -> &'static str {
        "items"
    }

    fn generate(&mut self, random: &mut Random) -> Vec<u8> {
        let items: Vec<Item> = (0..1 + random.below(6)).map(|_| speeches::item(random)).collect();
        let mut bytes = bincode::encode_to_vec(&items, bincode::config::standard()).unwrap_or_default();
        if random.one_in(2) {
            mutate(random, &mut bytes, &crate::json_text::WORDS);
        }
        bytes
    }

    fn check(&mut self, input: &[u8]) -> Result<(), Fault> {
        let config = bincode::config::standard().with_limit::<{ 1 << 20 }>();
        let Ok((items, _)) = bincode::decode_from_slice::<Vec<Item>, _>(input, config) else { return Ok(()) };
        let mut cells = ItemSet::default();
        cells.merge_all(items);
        for item in cells.iter().filter(|item| item.key.kind == Kind::Server) {
            let _ = item.value.as_deref().and_then(Server::decode);
        }
        let _ = operator_call::render_configuration(&cells);
        let mut standing = IndexedItems::new(cells);
        standing
            .merge_all(operator_call::parse_update(BESIDE.as_bytes()).map_err(|unfit| unfit.to_string())?);
        let table = RoutingTable::from_items(standing.items());
        if table.find_route("beside.example", "/b/x").is_none() || table.tenant_by_key("beside-key").is_none()
        {
            return Err("an odd item has taken sound ones with it".into());
        }
        let mut changed = RoutingTable::default();
        standing.items().iter().for_each(|item| changed.apply(item));
        if changed.tenants().len() != table.tenants().len() {
            return Err("items one by one make another table than all at once".into());
        }
        Ok(())
    }
}

/// A database's file, spoilt.
#[derive(Default)]
pub struct Disks {
    folder: Option<Folder>,
    sound: Vec<u8>,
}

struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

const FILE: &str = "config-store.sqlite";

impl Disks {
    fn folder(&mut self) -> PathBuf {
        let make = || {
            let path = std::env::temp_dir().join(format!("pinerelay-fuzz-disk-{}", std::process::id()));
            let _ = std::fs::create_dir_all(&path);
            Folder(path)
        };
        self.folder.get_or_insert_with(make).0.clone()
    }

    fn clear(&mut self) -> PathBuf {
        let folder = self.folder();
        for name in [FILE, "config-store.sqlite-wal", "unread.sqlite", "unread.sqlite-wal"] {
            let _ = std::fs::remove_file(folder.join(name));
        }
        folder
    }

    /// The bytes of a database that holds something of all.
    fn sound(&mut self) -> Vec<u8> {
        if self.sound.is_empty() {
            let folder = self.clear();
            let mut random = Random::new(7);
            let settled = (0..40).map(|_| speeches::item(&mut random)).collect();
            let change = StateChange {
                incarnation: Some(3),
                is_complete: true,
                membership: Some(Membership::first(["127.0.0.1".to_string()])),
                promise_ceiling: Some(1_000),
                accepted: Some((Ballot::new(5, 6), None)),
                committed: settled,
            };
            if let Ok(OpenedDisk { disk, completed: mut written, .. }) = Disk::open(&folder) {
                disk.write(1, change);
                let _ = written.blocking_recv();
                drop(disk);
                // The thread ends, and with it the last of the database's own log is gone.
                let _ = written.blocking_recv();
            }
            self.sound = std::fs::read(folder.join(FILE)).unwrap_or_default();
        }
        self.sound.clone()
    }
}

impl Reader for Disks {
    fn name(&self) -> &'static str {
        "disk"
    }

    /// Patches of the sound file: three bytes for the place, one for what stands there.
    fn generate(&mut self, random: &mut Random) -> Vec<u8> {
        let length = self.sound().len();
        let mut patches = Vec::new();
        for _ in 0..1 + random.below(8) {
            let at = if random.one_in(4) { random.below(100) } else { random.below(length) };
            patches.extend_from_slice(&(at as u32).to_le_bytes()[..3]);
            patches.push(random.bits() as u8);
        }
        if random.one_in(6) {
            patches.extend_from_slice(&(random.below(length) as u32).to_le_bytes()[..3]);
        }
        patches
    }

    fn check(&mut self, input: &[u8]) -> Result<(), Fault> {
        let mut file = self.sound();
        let patches = input.chunks_exact(4);
        let cut = match patches.remainder() {
            [a, b, c] => Some(u32::from_le_bytes([*a, *b, *c, 0]) as usize),
            _ => None,
        };
        for patch in patches {
            let at = u32::from_le_bytes([patch[0], patch[1], patch[2], 0]) as usize;
            if let Some(byte) = file.get_mut(at) {
                *byte = patch[3];
            }
        }
        file.truncate(cut.unwrap_or(file.len()));
        let folder = self.clear();
        std::fs::write(folder.join(FILE), file).map_err(|error| error.to_string())?;
        let OpenedDisk { disk, state: kept, completed: mut written } =
            Disk::open(&folder).map_err(|error| error.to_string())?;
        let items = kept.map(|kept| kept.items).unwrap_or_default();
        drop(disk);
        let _ = written.blocking_recv();
        let mut cells = ItemSet::default();
        cells.merge_all(items);
        let _ = (RoutingTable::from_items(&cells), operator_call::render_configuration(&cells));
        let _ = IndexedItems::new(cells);
        Ok(())
    }

    fn allocates(&self, _: &[u8]) -> Option<usize> {
        // The database's library allocates in a way that is not counted here, beside the disk's own thread.
        None
    }
}
