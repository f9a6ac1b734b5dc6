//! The schedule of open promises: when those that were refused for now are to come back (DSRT).

use std::collections::VecDeque;

use crate::interface::Micros;

/// Open promises at most, in mean requests of the burst: D-hat of the paper.
const PROMISES_MAX: usize = 16;

/// The open promises of one customer, in the order of time.
#[derive(Clone, Debug, Default)]
pub struct Schedule {
    due: VecDeque<Micros>,
}

impl Schedule {
    /// Promises a return `spacing` past the latest that is promised, or past now, while fewer than
    /// D = min(D-hat, reach / spacing) are open; tells how long from now that is. Both in microseconds.
    pub fn promise(&mut self, now: Micros, spacing: f64, reach: f64) -> Option<Micros> {
        let most = ((reach / spacing.max(1.0)) as usize).min(PROMISES_MAX);
        let open = self.due.iter().filter(|&&at| at > now).count();
        if open >= most {
            return None;
        }
        let at = self.due.back().copied().filter(|&at| at > now).unwrap_or(now) + spacing as Micros;
        self.due.push_back(at);
        Some(at - now)
    }

    /// Whether this is a promised return: it comes within `slot` after a promised time. The promise is kept by it.
    pub fn returns(&mut self, now: Micros, slot: Micros) -> bool {
        self.drop_due(now.saturating_sub(slot));
        let kept = self.due.front().is_some_and(|&at| at <= now);
        if kept {
            self.due.pop_front();
        }
        kept
    }

    /// Drops the promises that were due by then.
    pub fn drop_due(&mut self, by: Micros) {
        self.due.retain(|&at| at > by);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn promises_are_spaced_capped_and_kept_once() {
        let mut schedule = Schedule::default();
        let waits: Vec<_> = (0..5).map(|_| schedule.promise(1_000, 100.0, 350.0)).collect();
        assert_eq!(waits, [Some(100), Some(200), Some(300), None, None]);
        assert!(!schedule.returns(1_050, 20), "nobody was promised that time");
        assert!(schedule.returns(1_110, 20) && !schedule.returns(1_110, 20), "one return to a promise");
        assert_eq!(schedule.promise(1_150, 100.0, 350.0), Some(250));
        assert!(!schedule.returns(1_250, 20), "it came too late for its slot");
        schedule.drop_due(1_400);
        assert_eq!(schedule.promise(1_400, 100.0, 350.0), Some(100));
        assert_eq!(Schedule::default().promise(0, 1.0, 1e9), Some(1));
    }
}
