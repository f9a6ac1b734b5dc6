//! How a step is shown in a trace.

use std::fmt;

use pinerelay_config_state::Item;
use pinerelay_consensus::{Ballot, Batch, Member, Membership, Message};

use crate::scope::Step;
use crate::state::{letter, name};

pub fn items(items: &[Item]) -> String {
    let one = |i: &Item| {
        let value = i.value.as_ref().map_or("dropped".into(), |v| String::from_utf8_lossy(v).into_owned());
        format!("{}@{} {value}", i.key.name, i.version.revision)
    };
    format!("[{}]", items.iter().map(one).collect::<Vec<_>>().join(", "))
}

pub fn members(membership: &Membership) -> String {
    let one = |m: &Member| {
        let me = (0..16).find(|me| name(*me) == m.name).expect("a machine");
        format!("{}{}", letter(me), m.incarnation)
    };
    format!("{}:{}", membership.epoch, membership.members.iter().map(one).collect::<String>())
}

pub fn brief(batch: &Batch) -> String {
    let change = batch.membership.as_ref().map_or(String::new(), |m| format!(" members {}", members(m)));
    format!("{}{change}", items(&batch.items))
}

impl fmt::Debug for Step {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Step::Hear { said, again } => {
                let again = if *again { " (and again later)" } else { "" };
                write!(f, "{} hears {}: ", letter(said.to), letter(said.from))?;
                let b = |ballot: &Ballot| format!("{}.{:02x}", ballot.round, ballot.proposer % 256);
                match &said.word {
                    Message::Prepare { ballot, membership, .. } => {
                        write!(f, "Ask {} in epoch {}", b(ballot), membership.epoch)
                    }
                    Message::Promise { ballot, accepted: at, pending, items: item_set, .. } => {
                        write!(f, "Promise {} at {}", b(ballot), b(at))?;
                        if let Some(pending) = pending {
                            write!(f, " pending {}", brief(pending))?;
                        }
                        write!(f, " settled {}", items(item_set))
                    }
                    Message::Reject { ballot, promised: higher } => {
                        write!(f, "Deny {} for {}", b(ballot), b(higher))
                    }
                    Message::Accept { ballot, missing: fill, batch } => {
                        write!(f, "Put {} {} fill {}", b(ballot), brief(batch), items(fill))
                    }
                    Message::Accepted { ballot, .. } => write!(f, "PersistentState {}", b(ballot)),
                    Message::Commit { ballot, batch, .. } => {
                        write!(f, "Settle {} {}", b(ballot), brief(batch))
                    }
                    Message::NewMembership(membership) => write!(f, "Members {}", members(membership)),
                    other => write!(f, "{other:?}"),
                }?;
                write!(f, "{again}")
            }
            Step::Sync(me) => write!(f, "{} syncs", letter(*me)),
            Step::Crash(me, kept) => write!(f, "{} ends, {kept} unsynced writes kept", letter(*me)),
            Step::Wipe(me) => write!(f, "{} loses its disk", letter(*me)),
            Step::Start(me) => write!(f, "{} starts", letter(*me)),
            Step::Call(n) => write!(f, "call {n}"),
            Step::Tick(me, jump) => write!(f, "{} ms pass at {}", jump / 1_000, letter(*me)),
        }
    }
}
