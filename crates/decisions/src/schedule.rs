//! The schedule of promised returns: when clients that got a retry-after time are to retry (DSRT).

use std::collections::VecDeque;

use crate::interface::Micros;

/// Most promises that one customer may have open: D-hat of the DSRT paper.
const PROMISES_MAX: usize = 16;

/// The open promises of one customer, in order of time.
#[derive(Clone, Debug, Default)]
pub struct Schedule {
    due: VecDeque<Micros>,
}

impl Schedule {
    /// Promises a return `spacing` after the latest promise, or after `now`, while fewer than D = min(D-hat,
    /// `horizon` / `spacing`) are open. Returns the time from now to the return. All times are in
    /// microseconds.
    pub fn promise(&mut self, now: Micros, spacing: f64, horizon: f64) -> Option<Micros> {
        let limit = ((horizon / spacing.max(1.0)) as usize).min(PROMISES_MAX);
        let open = self.due.iter().filter(|&&at| at > now).count();
        if open >= limit {
            return None;
        }
        let at = self.due.back().copied().filter(|&at| at > now).unwrap_or(now) + spacing as Micros;
        self.due.push_back(at);
        Some(at - now)
    }

    /// Whether a retry at `now` is a promised return: at most `slot` after a promised time. It uses the
    /// promise up.
    pub fn redeem(&mut self, now: Micros, slot: Micros) -> bool {
        self.drop_due(now.saturating_sub(slot));
        let redeemed = self.due.front().is_some_and(|&at| at <= now);
        if redeemed {
            self.due.pop_front();
        }
        redeemed
    }

    /// Drops the promises due at or before `by`.
    pub fn drop_due(&mut self, by: Micros) {
        self.due.retain(|&at| at > by);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn promises_are_spaced_capped_and_redeemed_once() {
        let mut schedule = Schedule::default();
        let waits: Vec<_> = (0..5).map(|_| schedule.promise(1_000, 100.0, 350.0)).collect();
        assert_eq!(waits, [Some(100), Some(200), Some(300), None, None]);
        assert!(!schedule.redeem(1_050, 20), "no promise for that time");
        assert!(schedule.redeem(1_110, 20) && !schedule.redeem(1_110, 20), "one return per promise");
        assert_eq!(schedule.promise(1_150, 100.0, 350.0), Some(250));
        assert!(!schedule.redeem(1_250, 20), "too late for its slot");
        schedule.drop_due(1_400);
        assert_eq!(schedule.promise(1_400, 100.0, 350.0), Some(100));
        assert_eq!(Schedule::default().promise(0, 1.0, 1e9), Some(1));
    }
}
