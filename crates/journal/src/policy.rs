//! When what was appended is committed. No I/O and no clock: times are passed in.

/// How much may be lost in a crash, and what it costs: one sync of the disk each time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// As soon as so many records wait; 1 commits each.
    pub records: u64,
    /// As soon as so many bytes wait.
    pub bytes: u64,
    /// As soon as the first of those that wait is so old, in microseconds.
    pub age: u64,
}

/// What waits to be committed.
#[derive(Debug, Default)]
pub struct Waiting {
    records: u64,
    bytes: u64,
    since: Option<u64>,
}

impl Waiting {
    /// A record has been appended at this time, in microseconds.
    pub fn appended(&mut self, now: u64, bytes: u64) {
        self.records += 1;
        self.bytes += bytes;
        self.since.get_or_insert(now);
    }

    /// All that waited has been committed.
    pub fn committed(&mut self) {
        *self = Waiting::default();
    }

    /// When to commit at the latest; none if nothing waits.
    pub fn due(&self, policy: &Policy) -> Option<u64> {
        let full = self.records >= policy.records || self.bytes >= policy.bytes;
        self.since.map(|since| if full { since } else { since.saturating_add(policy.age) })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn whichever_bound_is_met_first_decides() {
        let policy = Policy { records: 3, bytes: 100, age: 50 };
        let mut waiting = Waiting::default();
        assert_eq!(waiting.due(&policy), None);
        waiting.appended(1_000, 10);
        waiting.appended(1_020, 10);
        assert_eq!(waiting.due(&policy), Some(1_050), "by age, from the first on");
        waiting.appended(1_030, 10);
        assert_eq!(waiting.due(&policy), Some(1_000), "by number: at once");
        waiting.committed();
        assert_eq!(waiting.due(&policy), None);
        waiting.appended(2_000, 100);
        assert_eq!(waiting.due(&policy), Some(2_000), "by size: at once");
    }
}
