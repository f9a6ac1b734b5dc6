//! The count of one tenant's units, where the duty for it is.

use std::collections::BTreeMap;

use mountbend::measure::Rate;

use crate::terms::Quota;
use crate::Micros;

/// What a proxy draws is smoothed over this.
const SPAN: f64 = 3.0e6;
/// All shares together are this part of the rate: what was told to one may be old at another.
const SHARED: f64 = 0.95;
/// What a proxy that draws nothing weighs beside one that draws a unit a second.
const IDLE: f64 = 0.05;
/// One that has drawn nothing for so long has no share: it begins to live on none that was told so long ago.
pub(crate) const FORGET: Micros = 20_000_000;
/// Nobody lives on a share for longer than this after the ask that it was told with.
pub const SHARE_LIFE: Micros = 60_000_000;

/// A proxy that draws.
#[derive(Debug, Clone, Copy, Default)]
struct Lessee {
    drawn: Rate,
    /// The share that it was told last, and the most that it may have besides, as long as it has not said that it has that.
    told: f64,
    before: f64,
    /// It has not been heard since it was last told, and lives on its share.
    missing: bool,
    /// What it has spent of its share in all, as far as has been taken out here.
    spent: f64,
    /// What was taken out for it while it was missing, before it could tell what it had spent.
    charged: f64,
    /// What it had of its share and had not spent, when it asked last, and when that was.
    left: f64,
    asked: Micros,
}

/// What a proxy asks, and what it tells with it.
#[derive(Debug, Clone, Copy, Default)]
pub struct Call {
    /// Units that it wants.
    pub want: f64,
    /// Units that it hands back unspent.
    pub back: f64,
    /// The share that it holds by now: what was told later has not come.
    pub holds: f64,
    /// What it has spent of its share in all, and since its asks have failed.
    pub spent: f64,
    /// The part of that since its asks have failed.
    pub lately: f64,
    /// What it has of its share now and has not spent; 0 while its asks do not fail.
    pub left: f64,
}

/// The most that a proxy keeps of its share unspent: that part of the burst, and one unit at the least.
pub(crate) fn keeps(quota: Quota, share: f64) -> f64 {
    (quota.burst * share).max(1.0)
}

impl Lessee {
    fn holds(&self) -> f64 {
        self.told.max(self.before)
    }

    /// The most that it may still spend of what it has had of its share so far.
    fn open(&self, quota: Quota) -> f64 {
        if self.missing {
            self.charged.min(keeps(quota, self.holds()))
        } else {
            self.left
        }
    }
}

/// What a proxy is answered.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Drawn {
    /// Units; where there is none, when one will be there.
    pub units: Result<f64, Micros>,
    /// The part of the rate that it may live on when it reaches no count.
    pub share: f64,
}

/// Units that are there to be leased: a bucket that fills at the quota's rate up to its burst.
///
/// The rate has one owner at any time. A proxy that is cut off lives on the share that it was told; shares sum up to less
/// than one, those too that another count told before this one began. While a proxy is missing its share does not fill the
/// bucket, and what it had by then since it was last heard is taken out: the bucket may be in debt.
///
/// So has the burst: what is here and what proxies may have unspent of their shares is never more than it. What was kept
/// back for a proxy comes back here only as far as the proxy could have kept it itself.
#[derive(Debug, Clone)]
pub struct Well {
    quota: Quota,
    level: f64,
    at: Micros,
    /// When it began.
    born: Micros,
    /// What shares another count may have told to proxies that have not asked here come to, and what has been kept back
    /// for them.
    unknown: f64,
    kept: f64,
    /// Some proxies are cut off that this count has never heard of, as it was told last.
    strangers: bool,
    lessees: BTreeMap<String, Lessee>,
}

impl Well {
    /// The count of a tenant whose duty has just been taken over, or that is new. It begins with nothing: what was there
    /// may have been granted by who had the duty before.
    pub fn new(now: Micros, quota: Quota) -> Well {
        Well {
            quota,
            level: 0.0,
            at: now,
            born: now,
            unknown: SHARED,
            kept: 0.0,
            strangers: false,
            lessees: BTreeMap::new(),
        }
    }

    /// The count of a tenant that did not exist before the duty for it was here: nobody has granted anything of it.
    pub fn full(now: Micros, quota: Quota) -> Well {
        let mut well = Well::new(now, quota);
        well.unknown = 0.0;
        well.level = well.most(0.0);
        well
    }

    /// The most that may be here: the burst without what proxies may have unspent, and a unit at the least.
    fn most(&self, reserved: f64) -> f64 {
        let open: f64 = self.lessees.values().map(|lessee| lessee.open(self.quota)).sum();
        (self.quota.burst * (1.0 - reserved) - open).max(1.0)
    }

    /// What shares may be held by proxies that this count has never heard of.
    fn strange(&self, now: Micros) -> f64 {
        if now < self.born + SHARE_LIFE {
            self.unknown
        } else {
            0.0
        }
    }

    /// Time passes. Of the rate the shares of those are kept back that are cut off, and what strangers may hold. Tells how
    /// much that is for strangers.
    fn fill(&mut self, now: Micros) -> f64 {
        let reserved = if self.strangers { self.strange(now) } else { 0.0 };
        let seconds = now.saturating_sub(self.at) as f64 / 1e6;
        self.at = self.at.max(now);
        let full = self.quota.rate;
        let mut missing = 0.0;
        for lessee in self.lessees.values_mut().filter(|lessee| lessee.missing) {
            missing += lessee.holds();
            lessee.charged += lessee.holds() * full * seconds;
        }
        self.kept += reserved * full * seconds;
        let rate = self.quota.rate * (1.0 - reserved - missing).clamp(0.0, 1.0);
        self.level = (self.level + rate * seconds).min(self.most(reserved));
        reserved
    }

    /// The quota has changed. What is there above a lower burst is gone.
    pub fn change(&mut self, now: Micros, quota: Quota) {
        self.fill(now);
        self.quota = quota;
        self.fill(now);
    }

    /// A proxy has not been heard since then: it may live on its share. One that did so when it asked last has had of it
    /// since then.
    pub fn missing(&mut self, now: Micros, node: &str, since: Micros) {
        self.fill(now);
        let rate = self.quota.rate;
        if let Some(lessee) = self.lessees.get_mut(node).filter(|lessee| !lessee.missing) {
            lessee.missing = true;
            let since = if lessee.left > 0.0 { since.min(lessee.asked) } else { since };
            let had = lessee.left + lessee.holds() * rate * now.saturating_sub(since) as f64 / 1e6;
            lessee.charged += had;
            self.level -= had;
        }
    }

    /// It is heard again. What was kept back for it stays so until it tells what it has spent.
    pub fn returned(&mut self, now: Micros, node: &str) {
        if self.lessees.get(node).is_some_and(|lessee| lessee.missing) {
            self.fill(now);
            self.lessees.entry(node.into()).and_modify(|lessee| {
                lessee.missing = false;
                lessee.left = lessee.charged.min(keeps(self.quota, lessee.holds()));
            });
        }
    }

    /// Its process has ended, and what it was told with it.
    pub fn ended(&mut self, now: Micros, node: &str) {
        if self.lessees.contains_key(node) {
            self.fill(now);
            self.lessees.remove(node);
        }
    }

    /// Takes out what a proxy has spent of its share. What was taken out while it was missing is set against that; of what
    /// is over it could keep so much, and the rest is lost, as it was to the proxy.
    fn settle(&mut self, now: Micros, node: &str, call: &Call) {
        let holds = call.holds.clamp(0.0, 1.0);
        if !self.lessees.contains_key(node) {
            // What it spent before this count began came from a rate that nobody else had then.
            let since = now.saturating_sub(self.born) as f64 / 1e6;
            let here = call.lately.min(holds * self.quota.rate * since);
            let kept = here.min(self.kept);
            self.kept -= kept;
            self.unknown = (self.unknown - holds).max(0.0);
            let lessee = Lessee { spent: call.spent - here, charged: kept, told: holds, ..Lessee::default() };
            self.lessees.insert(node.into(), lessee);
        }
        let quota = self.quota;
        let Some(lessee) = self.lessees.get_mut(node) else { return };
        // What it was told later than what it holds counts as well: that may have come by now, or come yet.
        let besides = if holds == lessee.told { 0.0 } else { lessee.holds() };
        lessee.before = holds.max(besides);
        let spent = (call.spent - lessee.spent).max(0.0);
        lessee.spent = lessee.spent.max(call.spent);
        self.level += (std::mem::take(&mut lessee.charged) - spent).min(keeps(quota, holds));
        (lessee.left, lessee.asked) = (call.left.max(0.0), now);
    }

    /// Leases up to as many whole units to a proxy as it wants, after those that it hands back unspent (the negative add).
    /// `strangers`: some are cut off that may hold shares of another count's. One that wants no unit hears of no share.
    pub fn draw(&mut self, now: Micros, node: &str, strangers: bool, call: &Call) -> Drawn {
        self.strangers |= strangers;
        let reserved = self.fill(now);
        self.strangers = strangers;
        self.settle(now, node, call);
        let want = call.want;
        self.level = (self.level + call.back.max(0.0)).min(self.most(reserved));
        let granted = want.max(0.0).min(self.level.max(0.0)).floor();
        self.level -= granted;
        let share = self.share(now, node, granted, want >= 1.0);
        if granted >= 1.0 || want < 1.0 {
            return Drawn { units: Ok(granted), share };
        }
        let rate = (self.quota.rate * (1.0 - reserved)).max(1e-3);
        Drawn { units: Err(((1.0 - self.level).max(0.0) / rate * 1e6) as Micros), share }
    }

    /// Shares follow what is drawn. Danger: a proxy that is not heard keeps what it was told, here or by the count before, so
    /// another's share grows only into what is free.
    fn share(&mut self, now: Micros, node: &str, granted: f64, tell: bool) -> f64 {
        self.lessees.retain(|_, lessee| lessee.missing || now < lessee.drawn.at + FORGET);
        if let Some(lessee) = self.lessees.get_mut(node) {
            lessee.drawn.add(now, granted, SPAN);
        }
        let weigh = |lessee: &Lessee| lessee.drawn.get(now, SPAN) + IDLE;
        let (mut all, mut others) = (0.0, self.strange(now));
        for (name, lessee) in &self.lessees {
            all += weigh(lessee);
            others += if name == node { 0.0 } else { lessee.holds() };
        }
        let Some(lessee) = self.lessees.get_mut(node) else { return 0.0 };
        if tell {
            lessee.told = (weigh(lessee) / all * SHARED).min((SHARED - others).max(0.0));
        }
        lessee.told
    }

    /// Whether a proxy has been told a share here.
    pub fn knows(&self, node: &str) -> bool {
        self.lessees.contains_key(node)
    }

    /// How many proxies it knows, while it keeps back what others may hold; none: it keeps back nothing.
    pub fn keeps_back(&self, now: Micros) -> Option<usize> {
        (self.strange(now) > 0.0).then_some(self.lessees.len())
    }

    /// It knows every proxy that there is.
    pub fn knows_all(&mut self) {
        self.unknown = 0.0;
    }

    /// The quota that it holds to.
    pub fn quota(&self) -> Quota {
        self.quota
    }

    /// Units that are there; less than nothing where cut-off proxies have had more than was there.
    pub fn level(&self) -> f64 {
        self.level
    }
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;

    fn call(want: f64, back: f64) -> Call {
        Call { want, back, ..Call::default() }
    }

    #[gtest]
    fn no_more_than_rate_and_burst_is_granted_in_any_time() {
        let quota = Quota { rate: 50.0, burst: 30.0 };
        let mut well = Well::new(0, quota);
        let mut granted: Vec<(Micros, f64)> = Vec::new();
        let mut lot = 9;
        let mut now = 0;
        for _ in 0..5_000 {
            now += (mountbend::measure::lot(&mut lot) * 20_000.0) as Micros;
            let want = (mountbend::measure::lot(&mut lot) * 8.0).floor();
            if let Ok(units) = well.draw(now, "n", false, &call(want, 0.0)).units {
                granted.push((now, units));
            }
        }
        for (n, &(from, _)) in granted.iter().enumerate().step_by(37) {
            let mut sum = 0.0;
            for &(at, units) in &granted[n..] {
                sum += units;
                let most = quota.burst + quota.rate * (at - from) as f64 / 1e6;
                assert_that!(sum, le(most + 1.0));
            }
        }
        expect_that!(granted.iter().map(|g| g.1).sum::<f64>(), gt(0.9 * 50.0 * now as f64 / 1e6));
    }

    #[gtest]
    fn a_new_one_has_nothing_and_tells_when_it_will() {
        let mut well = Well::new(0, Quota { rate: 10.0, burst: 5.0 });
        let mut draw = |now, want, back| well.draw(now, "n", false, &call(want, back)).units;
        expect_that!(draw(0, 2.0, 0.0), err(eq(100_000)));
        expect_that!(draw(100_000, 2.0, 0.0), ok(eq(1.0)));
        expect_that!(draw(100_000, 2.0, 1.0), ok(eq(1.0)), "what came back is there again");
        expect_that!(draw(10_000_000, 9.0, 0.0), ok(eq(5.0)), "no more than the burst");
        expect_that!(Well::full(0, Quota { rate: 10.0, burst: 5.0 }).level(), eq(5.0));
        well.change(11_200_000, Quota { rate: 10.0, burst: 2.0 });
        expect_that!(well.draw(11_200_000, "n", false, &call(9.0, 0.0)).units, ok(eq(2.0)));
    }

    #[gtest]
    fn shares_follow_what_is_drawn_and_never_sum_up_to_more_than_the_rate() {
        let mut well = Well::new(0, Quota { rate: 100.0, burst: 100.0 });
        well.knows_all();
        let mut lot = 4;
        let mut holds = [0.0; 10];
        for step in 1..2_000_u64 {
            let node = (mountbend::measure::lot(&mut lot) * 10.0) as usize;
            // Whose clients are many changes on the way.
            let busy = if step < 1_000 { 2 } else { 7 };
            let want = if node == busy { 8.0 } else { 1.0 };
            let told = Call { holds: holds[node], ..call(want, 0.0) };
            let share = well.draw(step * 20_000, &format!("n{node}"), false, &told).share;
            holds[node] = share;
            let held: f64 = well.lessees.values().map(Lessee::holds).sum();
            // What was told before counts until the next word: it may stand beside what has been given on since.
            expect_that!(held, le(1.0 + 1e-9), "at step {step}");
            if step == 990 || step == 1_990 {
                let busiest = well.lessees.iter().max_by(|a, b| a.1.told.total_cmp(&b.1.told));
                expect_that!(busiest.map(|b| b.0.clone()), some(eq(&format!("n{busy}"))));
                expect_that!(share, gt(0.02));
            }
        }
    }

    #[gtest]
    fn while_one_is_missing_its_share_is_not_granted_to_others() {
        let mut well = Well::new(0, Quota { rate: 100.0, burst: 10.0 });
        well.knows_all();
        let mut now = 0;
        let mut share = 0.0;
        for _ in 0..400 {
            now += 20_000;
            share = well.draw(now, "a", false, &Call { holds: share, ..call(1.0, 0.0) }).share;
            well.draw(now, "b", false, &Call { holds: 0.475, ..call(1.0, 0.0) });
        }
        expect_that!(share, near(0.475, 0.02));
        // It was last heard half a second ago: by now it may have spent half of its share of a second.
        well.missing(now, "a", now - 500_000);
        expect_that!(well.level(), lt(10.0 - 0.4 * 50.0));
        let mut granted = 0.0;
        for _ in 0..500 {
            now += 20_000;
            let b = Call { holds: 0.475, ..call(9.0, 0.0) };
            granted += well.draw(now, "b", false, &b).units.unwrap_or(0.0);
        }
        expect_that!(granted, all!(gt(450.0), lt(540.0)));
        well.returned(now, "a");
        // It has spent 300 of the 500 that were kept back for it: the others are there again, up to the burst.
        let a = Call { holds: share, spent: 300.0, lately: 300.0, ..call(9.0, 0.0) };
        expect_that!(well.draw(now + 100_000, "a", false, &a).units, ok(ge(8.0)));
    }

    #[gtest]
    fn what_a_deaf_one_spends_of_its_share_is_taken_out_with_each_ask() {
        let mut well = Well::full(0, Quota { rate: 10.0, burst: 50.0 });
        well.draw(0, "a", false, &call(0.0, 0.0));
        // Its asks come, the answers are lost: by its third it has spent 20 of its share.
        for spent in [0.0, 8.0, 20.0] {
            well.draw(0, "a", false, &Call { spent, lately: spent, ..call(0.0, 0.0) });
        }
        expect_that!(well.level(), eq(30.0));
        // A count that has been taken over takes out what was spent since it began, and nothing older.
        let mut next = Well::new(0, Quota { rate: 10.0, burst: 50.0 });
        let told = Call { spent: 90.0, lately: 40.0, holds: 0.5, ..call(0.0, 0.0) };
        next.draw(1_000_000, "a", false, &told);
        expect_that!(next.level(), eq(10.0 - 5.0));
    }
}
