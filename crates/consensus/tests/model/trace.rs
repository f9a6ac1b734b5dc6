//! The text of a step in a trace.

use std::fmt;

use pinerelay_config_state::Item;
use pinerelay_consensus::{Ballot, Batch, Member, Membership, Message};

use crate::scope::Step;
use crate::state::{letter, store_name};

pub fn describe_items(items: &[Item]) -> String {
    let one = |i: &Item| {
        let value = i.value.as_ref().map_or("deleted".into(), |v| String::from_utf8_lossy(v).into_owned());
        format!("{}@{} {value}", i.key.name, i.version.revision)
    };
    format!("[{}]", items.iter().map(one).collect::<Vec<_>>().join(", "))
}

pub fn describe_membership(membership: &Membership) -> String {
    let one = |m: &Member| {
        let machine = (0..16).find(|machine| store_name(*machine) == m.name).expect("the name of a machine");
        format!("{}{}", letter(machine), m.incarnation)
    };
    format!("{}:{}", membership.epoch, membership.members.iter().map(one).collect::<String>())
}

pub fn describe_batch(batch: &Batch) -> String {
    let change =
        batch.membership.as_ref().map_or(String::new(), |m| format!(" members {}", describe_membership(m)));
    format!("{}{change}", describe_items(&batch.items))
}

impl fmt::Debug for Step {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Step::Deliver { envelope, duplicate } => {
                let suffix = if *duplicate { " (stays in flight)" } else { "" };
                write!(f, "{} receives from {}: ", letter(envelope.to), letter(envelope.from))?;
                let describe_ballot =
                    |ballot: &Ballot| format!("{}.{:02x}", ballot.round, ballot.proposer % 256);
                match &envelope.message {
                    Message::Prepare { ballot, membership, .. } => {
                        write!(f, "Prepare {} in epoch {}", describe_ballot(ballot), membership.epoch)
                    }
                    Message::Promise { ballot, accepted, pending, items, .. } => {
                        write!(
                            f,
                            "Promise {} accepted {}",
                            describe_ballot(ballot),
                            describe_ballot(accepted)
                        )?;
                        if let Some(pending) = pending {
                            write!(f, " pending {}", describe_batch(pending))?;
                        }
                        write!(f, " committed {}", describe_items(items))
                    }
                    Message::Reject { ballot, promised } => {
                        write!(f, "Reject {} promised {}", describe_ballot(ballot), describe_ballot(promised))
                    }
                    Message::Accept { ballot, missing, batch } => {
                        write!(
                            f,
                            "Accept {} {} missing {}",
                            describe_ballot(ballot),
                            describe_batch(batch),
                            describe_items(missing)
                        )
                    }
                    Message::Accepted { ballot, .. } => write!(f, "Accepted {}", describe_ballot(ballot)),
                    Message::Commit { ballot, batch, .. } => {
                        write!(f, "Commit {} {}", describe_ballot(ballot), describe_batch(batch))
                    }
                    Message::NewMembership(membership) => {
                        write!(f, "NewMembership {}", describe_membership(membership))
                    }
                    other => write!(f, "{other:?}"),
                }?;
                write!(f, "{suffix}")
            }
            Step::Sync(me) => write!(f, "{} syncs", letter(*me)),
            Step::Crash(me, synced) => {
                write!(f, "{} crashes, {synced} unsynced writes become durable", letter(*me))
            }
            Step::Wipe(me) => write!(f, "{} loses its disk", letter(*me)),
            Step::Start(me) => write!(f, "{} starts", letter(*me)),
            Step::Call(n) => write!(f, "call {n}"),
            Step::Tick(me, advance) => {
                write!(f, "{} ms pass at {}", advance / 1_000, letter(*me))
            }
        }
    }
}
