//! The processes that a registry knows of, for who looks on.

use pinerelay_propolis::speech::{Hello, Role, Rolled};

use super::Registry;

impl Registry {
    /// The processes that it knows of. Who looks on is none of them.
    pub(super) fn roll(&self) -> Rolled {
        let linked = self.peers.values().filter(|hello| hello.role != Role::Visitor);
        let mut linked: Vec<Hello> = linked.chain([&self.birth.hello]).cloned().collect();
        linked.sort_by(|a, b| (&a.ip, a.role, a.life).cmp(&(&b.ip, b.role, b.life)));
        linked.dedup();
        // One whose link has broken is not missed at once; but it has not ended as planned, either.
        let is_linked = |node: &&String| linked.iter().any(|h| h.role == Role::Forager && h.node == **node);
        let mut missing: Vec<String> =
            self.missing.keys().chain(self.heard.keys()).filter(|node| !is_linked(node)).cloned().collect();
        missing.sort();
        missing.dedup();
        Rolled { linked, missing, core: self.voters.clone() }
    }
}
