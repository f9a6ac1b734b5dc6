//! What one proxy holds of the tenants' units: blocks with a life, what waits for one, and open promises (DSRT).

use std::collections::{BTreeMap, VecDeque};

use bincode::{Decode, Encode};
use mountbend::measure::{Bucket, Rate};
use mountbend::schedule::Schedule;

use crate::terms::Quota;
use crate::well::{keeps, Call, FORGET, SHARE_LIFE};
use crate::Micros;

/// What clients ask here is smoothed over this.
const SPAN: f64 = 1.0e6;
/// A block is for what is asked within this time, or this part of its life if that is less.
const AHEAD: f64 = 0.3e6;
const AHEAD_OF_LIFE: f64 = 0.5;
/// A request that comes so long after a promised time is that return.
const SLOT: Micros = 50_000;
/// An ask without an answer by then is made anew, maybe elsewhere; what waits for longer is refused.
const ANSWER: Micros = 120_000;
const PATIENCE: Micros = 300_000;
/// After it was told that there is nothing, a proxy asks again no sooner.
const DRY: Micros = 25_000;
/// With no word from a tenant's count for so long, though it asks, a proxy lives on the share that it was told last, from
/// when it asked first. The count takes that out of the rate from when it last heard the proxy, which is no later, or the
/// proxy tells it of what is left.
const FAILING: Micros = 250_000;
/// It does not live on a share that the count may have given to others by now. Clocks differ in pace.
const STALE: Micros = FORGET - 1_000_000;
const DEAD: Micros = SHARE_LIFE - 1_000_000;
/// Units that would die unspent within this are handed back.
const HAND_BACK: Micros = 60_000;

/// What is to happen with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It has drawn its unit.
    Go,
    /// It waits for a block that has been asked for.
    Wait,
    /// It is refused, and is to come back after so long.
    Later(Micros),
    /// It is refused without a time: it has come back as promised, or enough others have been promised one.
    Never,
}

/// A call for a block of units.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct Ask {
    /// Whose.
    pub tenant: String,
    /// How many.
    pub want: f64,
    /// Handed back unspent, of a block granted under this fence.
    pub back: f64,
    /// The share that the proxy holds, what it has spent of that in all, and since asks have failed.
    pub holds: f64,
    /// In all.
    pub spent: f64,
    /// Since asks have failed.
    pub lately: f64,
    /// What is left of it now.
    pub left: f64,
    /// The fence.
    pub fence: u64,
}

impl Ask {
    /// Whether the proxy lives on its share by now.
    pub fn lives_on_share(&self) -> bool {
        self.left > 0.0 || self.lately > 0.0
    }

    /// As the count takes it.
    pub fn call(&self) -> Call {
        let Ask { want, back, holds, spent, lately, left, .. } = *self;
        Call { want, back, holds, spent, lately, left }
    }
}

/// What comes of it.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum Grant {
    /// A block.
    Block {
        /// How many.
        units: f64,
        /// They may be spent for so long from when they were asked for.
        life: Micros,
        /// The fence under which they were granted.
        fence: u64,
        /// The part of the rate that the proxy may live on when it reaches no count.
        share: f64,
    },
    /// Nothing is there.
    Dry {
        /// Or will be for so long.
        wait: Micros,
        /// As with a block.
        share: f64,
    },
    /// The duty for this tenant is not there.
    Elsewhere,
}

#[derive(Debug, Default)]
struct Pouch {
    quota: Quota,
    /// Until when they may be spent, and how many they are; the first dies first.
    blocks: VecDeque<(Micros, f64)>,
    life: Micros,
    fence: u64,
    back: f64,
    /// Since when an ask is out.
    asked: Option<Micros>,
    /// The requests that wait, and since when.
    waiting: VecDeque<(u64, Micros)>,
    /// No ask before this.
    rest: Micros,
    /// Nothing is there until then.
    dry: Micros,
    arrivals: Rate,
    drawn: Rate,
    schedule: Schedule,
    /// The part of the rate that it may live on, and when what it was told with was asked.
    share: f64,
    told: Micros,
    /// Since when asks have failed.
    failing: Option<Micros>,
    /// What there is of the share meanwhile.
    living: Option<Bucket>,
    /// What has been spent of it in all, and since asks have failed.
    spent: f64,
    lately: f64,
}

impl Pouch {
    fn units(&mut self, now: Micros) -> f64 {
        while self.blocks.front().is_some_and(|(until, _)| *until <= now) {
            self.blocks.pop_front();
        }
        self.blocks.iter().map(|(_, units)| units).sum()
    }

    fn spend(&mut self, now: Micros) -> bool {
        if self.units(now) < 1.0 {
            return false;
        }
        let Some((_, units)) = self.blocks.front_mut() else { return false };
        *units -= 1.0;
        if *units < 1.0 {
            self.blocks.pop_front();
        }
        self.drawn.add(now, 1.0, SPAN);
        true
    }

    /// What there is of the share by now, if asks have failed for long enough and it still holds.
    fn left(&mut self, now: Micros) -> f64 {
        let Some(since) = self.failing.filter(|since| now >= since + FAILING) else { return 0.0 };
        if since >= self.told + STALE || now >= self.told + DEAD {
            return 0.0;
        }
        let living = self.living.get_or_insert(Bucket { store: 0.0, at: since });
        living.refill(now, self.quota.rate * self.share, keeps(self.quota, self.share));
        living.store
    }

    /// Spends of the share, if asks have failed for long enough.
    fn live_on(&mut self, now: Micros) -> bool {
        if self.left(now) < 1.0 {
            return false;
        }
        let Some(living) = &mut self.living else { return false };
        living.store -= 1.0;
        self.spent += 1.0;
        self.lately += 1.0;
        self.drawn.add(now, 1.0, SPAN);
        true
    }

    /// A share counts from when it was asked for: by then the count had not given it to others.
    fn heard(&mut self, asked: Micros, share: f64) {
        (self.failing, self.living, self.lately) = (None, None, 0.0);
        (self.share, self.told) = (share, asked);
    }

    /// How many units it should hold.
    fn target(&self, now: Micros) -> f64 {
        let life = if self.life > 0 { self.life as f64 * AHEAD_OF_LIFE } else { AHEAD };
        self.arrivals.get(now, SPAN) * life.min(AHEAD) / 1e6
    }

    /// Beyond quota: a time to come back, spaced past the latest that was promised, while few enough are open. One that
    /// has come back as it was told is not told so twice.
    fn refuse(&mut self, now: Micros, nodes: usize) -> Admission {
        if self.schedule.returns(now, SLOT) {
            return Admission::Never;
        }
        let even = self.quota.rate / nodes.max(1) as f64;
        let spacing = 1e6 / self.drawn.get(now, SPAN).max(even).max(1e-3);
        let reach = self.quota.burst / self.quota.rate.max(1e-9) * 1e6;
        self.schedule.promise(now, spacing, reach).map_or(Admission::Never, Admission::Later)
    }

    fn need(&mut self, now: Micros) -> f64 {
        if self.asked.is_some() || now < self.rest || now < self.dry {
            return 0.0;
        }
        let (units, target) = (self.units(now), self.target(now));
        // One whose asks have failed goes on to ask, or it would live on its share for good.
        let waiting = (self.waiting.len() as f64).max(if self.failing.is_some() { 1.0 } else { 0.0 });
        if waiting == 0.0 && units >= target / 2.0 {
            return 0.0;
        }
        // Danger: where each proxy sees little of a tenant, one unit more than is needed at each is more than there is.
        (waiting + (target - units).round().max(0.0)).max(0.0)
    }
}

/// What one proxy holds of all tenants' units.
#[derive(Debug, Default)]
pub struct Purse {
    tenants: BTreeMap<String, Pouch>,
    /// How many proxies share the rates, as the counts tell.
    nodes: usize,
    /// Refused, and of these while no count had said that there is nothing.
    refused: [u64; 2],
}

impl Purse {
    /// An empty one.
    pub fn new() -> Purse {
        Purse { nodes: 1, ..Purse::default() }
    }

    /// So many proxies share the rates.
    pub fn shared_by(&mut self, nodes: usize) {
        self.nodes = nodes.max(1);
    }

    /// Nobody is there to be asked for this tenant.
    pub fn unasked(&mut self, now: Micros, tenant: &str) {
        if let Some(pouch) = self.tenants.get_mut(tenant) {
            pouch.asked = None;
            pouch.rest = now + DRY;
            pouch.failing.get_or_insert(now);
        }
    }

    /// A request of this tenant has come.
    pub fn arrive(&mut self, now: Micros, tenant: &str, quota: Quota, id: u64) -> Admission {
        if quota.rate <= 0.0 {
            return Admission::Go;
        }
        let nodes = self.nodes;
        if !self.tenants.contains_key(tenant) {
            self.tenants.insert(tenant.into(), Pouch::default());
        }
        let Some(pouch) = self.tenants.get_mut(tenant) else { return Admission::Never };
        pouch.quota = quota;
        pouch.arrivals.add(now, 1.0, SPAN);
        if pouch.waiting.is_empty() && pouch.spend(now) {
            return Admission::Go;
        }
        if pouch.failing.is_some_and(|since| now >= since + FAILING) {
            if pouch.live_on(now) {
                return Admission::Go;
            }
            self.refused = self.refused.map(|n| n + 1);
            return pouch.refuse(now, nodes);
        }
        if now < pouch.dry {
            self.refused[0] += 1;
            return pouch.refuse(now, nodes);
        }
        pouch.waiting.push_back((id, now));
        Admission::Wait
    }

    /// A request that waits has gone.
    pub fn gone(&mut self, tenant: &str, id: u64) {
        if let Some(pouch) = self.tenants.get_mut(tenant) {
            pouch.waiting.retain(|(waits, _)| *waits != id);
        }
    }

    /// What is to be asked for now, and handed back.
    pub fn asks(&mut self, now: Micros) -> Vec<Ask> {
        let mut asks = Vec::new();
        for (tenant, pouch) in &mut self.tenants {
            let want = pouch.need(now);
            if want < 1.0 && pouch.back < 1.0 {
                continue;
            }
            if want >= 1.0 {
                pouch.asked = Some(now);
            }
            let (back, left) = (std::mem::take(&mut pouch.back), pouch.left(now));
            asks.push(Ask {
                tenant: tenant.clone(),
                want: want.max(0.0),
                back,
                fence: pouch.fence,
                holds: pouch.share,
                spent: pouch.spent,
                lately: pouch.lately,
                left,
            });
        }
        asks
    }

    /// What was asked for at the time `asked` has been answered; tells what becomes of the requests that waited for it.
    ///
    /// Danger: the answer may be to an ask that has been made anew since. Were its life counted from the later one, what
    /// a link had held up could be spent long after it was counted.
    pub fn granted(
        &mut self,
        now: Micros,
        asked: Micros,
        tenant: &str,
        grant: Grant,
    ) -> Vec<(u64, Admission)> {
        let nodes = self.nodes;
        let Some(pouch) = self.tenants.get_mut(tenant) else { return Vec::new() };
        if pouch.asked.is_some_and(|last| last <= asked) {
            pouch.asked = None;
        }
        match grant {
            Grant::Block { units, life, fence, share } => {
                // The life counts from when it was asked for: what the way took is the proxy's loss.
                let until = asked.saturating_add(life);
                if until > now && units >= 1.0 {
                    pouch.blocks.push_back((until, units));
                }
                pouch.life = life;
                if pouch.fence != fence {
                    (pouch.fence, pouch.back) = (fence, 0.0);
                }
                pouch.heard(asked, share);
            }
            Grant::Dry { wait, share } => {
                pouch.dry = now.saturating_add(wait.max(DRY));
                pouch.heard(asked, share);
            }
            Grant::Elsewhere => {
                pouch.rest = now + DRY;
                pouch.failing.get_or_insert(now);
                return Vec::new();
            }
        }
        let mut ended = Vec::new();
        while let Some(&(id, _)) = pouch.waiting.front() {
            if !pouch.spend(now) {
                break;
            }
            pouch.waiting.pop_front();
            ended.push((id, Admission::Go));
        }
        if !pouch.waiting.is_empty() {
            // Fewer were there than were asked for.
            pouch.dry = pouch.dry.max(now + DRY);
            for (id, _) in std::mem::take(&mut pouch.waiting) {
                self.refused[0] += 1;
                ended.push((id, pouch.refuse(now, nodes)));
            }
        }
        ended
    }

    /// Time has passed: asks without an answer are made anew, and what has waited for too long is refused.
    pub fn tick(&mut self, now: Micros) -> Vec<(u64, Admission)> {
        let nodes = self.nodes;
        let mut ended = Vec::new();
        for pouch in self.tenants.values_mut() {
            if let Some(asked) = pouch.asked.filter(|asked| now >= asked + ANSWER) {
                pouch.asked = None;
                pouch.failing.get_or_insert(asked);
            }
            while let Some(&(id, since)) = pouch.waiting.front() {
                if pouch.live_on(now) {
                    ended.push((id, Admission::Go));
                } else if now >= since + PATIENCE || pouch.living.is_some() {
                    self.refused = self.refused.map(|n| n + 1);
                    ended.push((id, pouch.refuse(now, nodes)));
                } else {
                    break;
                }
                pouch.waiting.pop_front();
            }
            while pouch.blocks.front().is_some_and(|(until, _)| *until <= now + HAND_BACK) {
                if let Some((until, units)) = pouch.blocks.pop_front().filter(|(until, _)| *until > now) {
                    // What is asked for meanwhile may still need them.
                    let spare = (units - pouch.arrivals.get(now, SPAN) * HAND_BACK as f64 / 1e6).round();
                    let spare = spare.min(units.floor());
                    pouch.back += spare.max(0.0);
                    if units - spare.max(0.0) >= 1.0 {
                        pouch.blocks.push_front((until, units - spare.max(0.0)));
                        break;
                    }
                }
            }
        }
        ended
    }

    /// How many requests have been refused, and how many of these while no count had said that there is nothing: no answer
    /// came in time, or this proxy is cut off.
    pub fn refused(&self) -> [u64; 2] {
        self.refused
    }

    /// How many requests wait.
    pub fn waiting(&self) -> usize {
        self.tenants.values().map(|pouch| pouch.waiting.len()).sum()
    }
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;
    use mountbend::measure::lot;

    use super::*;
    use crate::terms::Bounds;
    use crate::well::Well;

    const QUOTA: Quota = Quota { rate: 94.0, burst: 94.0 };

    #[derive(Debug, Clone, Copy, PartialEq)]
    enum Troubles {
        None,
        /// While a count is new nobody is cut off.
        Alone,
        /// Whatever comes.
        Many,
    }

    /// Proxies that lease from one count, over a way that takes some milliseconds; some are cut off for a while, freeze,
    /// or die with what they hold; the count's process ends at times, and a new one knows nothing. Tells what ran, when,
    /// and how many were asked for.
    fn play(seed: u64, nodes: usize, asked_per_s: f64, troubles: Troubles) -> (Vec<Micros>, u64) {
        let some = troubles != Troubles::None;
        let bounds = Bounds::default();
        let mut random = seed;
        let mut dice = |most: f64| lot(&mut random) * most;
        let mut well = Well::new(0, QUOTA);
        let mut purses: Vec<Purse> = (0..nodes).map(|_| Purse::new()).collect();
        purses.iter_mut().for_each(|purse| purse.shared_by(nodes));
        let mut cut: Vec<Micros> = vec![0; nodes];
        let mut heard: Vec<Micros> = vec![0; nodes];
        let mut frozen: Vec<Micros> = vec![0; nodes];
        // Answers to these are lost, while their asks come.
        let mut deaf: Vec<Micros> = vec![0; nodes];
        let (mut down, mut fence) = (0, 1);
        let name: Vec<String> = (0..nodes).map(|n| n.to_string()).collect();
        type Way = Vec<(Micros, usize, Micros, Grant)>;
        let (mut way, mut runs, mut arrivals): (Way, Vec<Micros>, u64) = Default::default();
        for now in (3_000_000..33_000_000_u64).step_by(1_000) {
            // One trouble at a time: who is cut off holds shares that this count has told.
            let calm = troubles == Troubles::Many || now > down + 6_000_000;
            if some && calm && dice(1.0) < 0.0005 {
                cut[dice(nodes as f64) as usize] = now + dice(8e6) as Micros;
            }
            if some && dice(1.0) < 0.0005 {
                frozen[dice(nodes as f64) as usize] = now + dice(2e6) as Micros;
            }
            if some && dice(1.0) < 0.0003 {
                deaf[dice(nodes as f64) as usize] = now + dice(4e6) as Micros;
            }
            if some && dice(1.0) < 0.0003 {
                let node = dice(nodes as f64) as usize;
                purses[node] = Purse::new();
                purses[node].shared_by(nodes);
                well.ended(now, &name[node]);
            }
            if some
                && (troubles == Troubles::Many || cut.iter().all(|until| now > *until))
                && dice(1.0) < 0.0001
            {
                down = now + dice(3e6) as Micros;
                fence += 1;
                well = Well::new(down, QUOTA);
            }
            if name.iter().all(|node| well.knows(node)) {
                well.knows_all();
            }
            let silent = |node: usize| now > heard[node] + 650_000;
            let strangers = (0..nodes).any(|node| silent(node) && !well.knows(&name[node]));
            let due: Way = way.iter().filter(|w| w.0 <= now).cloned().collect();
            way.retain(|w| w.0 > now);
            let mut ended = Vec::new();
            for (_, node, asked, grant) in due {
                if now >= cut[node] && now >= frozen[node] && now >= deaf[node] {
                    ended.extend(purses[node].granted(now, asked, "t", grant));
                }
            }
            for node in 0..nodes {
                let linked = now >= cut[node] && now >= down;
                if now >= frozen[node] && linked && now % 200_000 == 0 {
                    heard[node] = now;
                    well.returned(now, &name[node]);
                }
                if now >= down && now > heard[node] + 650_000 {
                    well.missing(now, &name[node], heard[node]);
                }
                if now < frozen[node] {
                    continue;
                }
                if dice(1.0) < asked_per_s / nodes as f64 / 1e3 {
                    arrivals += 1;
                    ended.push((0, purses[node].arrive(now, "t", QUOTA, arrivals)));
                }
                if now % 20_000 == 0 {
                    ended.extend(purses[node].tick(now));
                }
                for ask in purses[node].asks(now) {
                    if linked {
                        heard[node] = now;
                        let back = if ask.fence == fence { ask.back } else { 0.0 };
                        let drawn = well.draw(now, &name[node], strangers, &Call { back, ..ask.call() });
                        let share = drawn.share;
                        let grant = match drawn.units {
                            Ok(units) => Grant::Block { units, life: bounds.life(QUOTA), fence, share },
                            Err(wait) => Grant::Dry { wait, share },
                        };
                        if ask.want >= 1.0 {
                            way.push((now + 1_000 + dice(3_000.0) as Micros, node, now, grant));
                        }
                    }
                }
            }
            runs.extend(ended.iter().filter(|(_, admission)| *admission == Admission::Go).map(|_| now));
        }
        (runs, arrivals)
    }

    fn most_in_a_window(runs: &[Micros]) -> usize {
        let mut most = 0;
        let mut last = 0;
        for (first, &from) in runs.iter().enumerate() {
            while last < runs.len() && runs[last] < from + 5_000_000 {
                last += 1;
            }
            most = most.max(last - first);
        }
        most
    }

    #[gtest]
    fn whatever_is_cut_off_frozen_or_dies_the_quota_holds_in_every_window() {
        let bound = (QUOTA.rate * 5.0 + QUOTA.burst) * 1.1 + 20.0;
        for seed in 0..12 {
            for troubles in [Troubles::Alone, Troubles::Many] {
                let (runs, _) = play(seed, 11, 500.0, troubles);
                expect_that!(most_in_a_window(&runs) as f64, le(bound), "seed {seed}, {troubles:?}");
            }
        }
    }

    #[gtest]
    fn an_answer_that_was_held_up_lives_no_longer_for_an_ask_made_since() {
        let mut purse = Purse::new();
        let block = |units| Grant::Block { units, life: 500_000, fence: 1, share: 0.1 };
        expect_that!(purse.arrive(0, "t", QUOTA, 1), eq(Admission::Wait));
        expect_that!(purse.asks(0).len(), eq(1));
        purse.tick(150_000);
        expect_that!(purse.asks(150_000).len(), eq(1), "made anew");
        // The first answer comes when its block has died; the second one in time.
        expect_that!(
            purse.granted(600_000, 0, "t", block(5.0)),
            elements_are![(eq(&1), not(eq(&Admission::Go)))]
        );
        expect_that!(purse.asks(610_000).len(), eq(0), "one is out");
        purse.granted(640_000, 150_000, "t", block(2.0));
        expect_that!(purse.arrive(641_000, "t", QUOTA, 2), eq(Admission::Go));
        expect_that!(purse.arrive(651_000, "t", QUOTA, 3), not(eq(Admission::Go)));
    }

    #[gtest]
    fn a_quota_that_all_ask_for_is_used_and_one_that_few_ask_for_refuses_nobody() {
        let (runs, _) = play(1, 11, 500.0, Troubles::None);
        let rate = runs.len() as f64 / 30.0;
        expect_that!(rate, gt(0.93 * QUOTA.rate));
        // The count's process ends now and then, and proxies are cut off.
        let (runs, arrivals) = play(5, 11, 60.0, Troubles::Alone);
        expect_that!(runs.len() as f64, gt(0.93 * arrivals as f64));
        let (runs, arrivals) = play(2, 11, 60.0, Troubles::None);
        expect_that!(runs.len() as f64, gt(0.985 * arrivals as f64));
        // Thin: a unit every other second at each of many nodes.
        let (runs, arrivals) = play(3, 85, 60.0, Troubles::None);
        expect_that!(runs.len() as f64, gt(0.97 * arrivals as f64));
    }

    #[gtest]
    fn beyond_quota_returns_are_spaced_capped_and_not_deferred_twice() {
        let mut purse = Purse::new();
        purse.shared_by(10);
        expect_that!(purse.arrive(0, "t", Quota { rate: 50.0, burst: 25.0 }, 1), eq(Admission::Wait));
        expect_that!(purse.asks(0).len(), eq(1));
        let ended = purse.granted(1_000, 0, "t", Grant::Dry { wait: 400_000, share: 0.1 });
        // x is one request over the configured rate over the nodes, 5 a second; the burst lasts 0.5 s: two fit.
        expect_that!(ended, elements_are![eq(&(1, Admission::Later(200_000)))]);
        let mut arrive = |now| purse.arrive(now, "t", Quota { rate: 50.0, burst: 25.0 }, 2);
        expect_that!(arrive(2_000), eq(Admission::Later(399_000)));
        expect_that!(arrive(3_000), eq(Admission::Never));
        expect_that!(arrive(205_000), eq(Admission::Never), "it has come back as promised");
        expect_that!(arrive(206_000), eq(Admission::Later(395_000)), "a new one");
        expect_that!(purse.refused(), eq([5, 0]));
        let quota = Quota { rate: 50.0, burst: 25.0 };
        expect_that!(purse.arrive(500_000, "t", quota, 3), eq(Admission::Wait));
        expect_that!(purse.tick(500_000 + PATIENCE), len(eq(1)), "no count has answered");
        expect_that!(purse.refused(), eq([6, 1]));
    }
}
