//! Random load with faults on all of it: messages lost, doubled and late, proxies killed and frozen, the core taken over.

mod world;

use std::collections::{BTreeMap, BTreeSet};

use googletest::prelude::*;
use pinerelay_config_state::execution::ExecutionStatus;

use self::world::{write, Core, Figures, Net, Proxy, Truth, Word, PRICES, PROXIES, STEP};
use crate::account::{Account, End, Reason, Record, LIFE};
use crate::pause::{Arrival, Gate, Level, BEAT, STOP};
use crate::pot::{Take, STALE};
use crate::told::{BlockId, Holder};
use crate::watch::{watchers, Inquest};
use crate::{Credits, Defect, Micros, SEEDED};

#[allow(clippy::too_many_lines)]
fn play(seed: u64, figures: &mut Figures) -> std::result::Result<(), String> {
    let mut net = Net { random: seed, at: BTreeMap::new(), count: 0 };
    let mut proxies: Vec<Proxy> = (0..PROXIES).map(|n| Proxy::new(n, 1)).collect();
    let mut stores: Vec<(u64, Account)> = (0..3).map(|_| (0, Account::default())).collect();
    let mut core: Option<Core> = None;
    let (mut fence, mut core_at, mut cut) = (0, 0, 9);
    let mut truth: BTreeMap<BlockId, Truth> = BTreeMap::new();
    let mut arrivals: BTreeMap<(Micros, u64), Credits> = BTreeMap::new();
    let (mut requests, mut refills) = (0, BTreeMap::<String, Credits>::new());
    let (mut empty_since, mut dry_since): (Option<Micros>, Option<Micros>) = (None, None);
    let busy = 10_000_000;
    for now in (0..busy + 9_000_000).step_by(STEP as usize) {
        let faults = now < busy;
        // The core and the stores.
        if faults && net.dice(300) == 0 {
            cut = net.dice(4) as usize;
        }
        if !faults {
            cut = 9;
        }
        if faults && net.dice(500) == 0 {
            (core, core_at) = (None, now + 100_000 + net.dice(800_000));
            empty_since = None;
        }
        if core.is_none() && now >= core_at {
            fence += 1;
            let mut account = Account::default();
            for (_, (promised, store)) in stores.iter_mut().enumerate().filter(|(n, _)| *n != cut) {
                *promised = fence;
                store.records().for_each(|record| account.merge(now, record));
            }
            let unwritten = account.take_over(fence);
            let (gate, inquests) = (Gate::new(fence), BTreeMap::new());
            core = Some(Core { fence, account, gate, inquests, unwritten, beat: 0 });
        }
        if faults && net.dice(250) == 0 {
            // An operator's refill, which is sent again now and then.
            let id = format!(
                "r{}",
                if net.dice(3) == 0 { refills.len().saturating_sub(1) } else { refills.len() }
            );
            let amount = refills.get(&id).copied().unwrap_or(500 + net.dice(4_000));
            let at = usize::from(cut == 0);
            let copy = core.as_mut().map_or(&mut stores[at].1, |core| &mut core.account);
            let record = copy.refill(&id, amount).map_err(|e| e.to_string())?;
            let record = record.unwrap_or(Record::Refill { id: id.clone(), amount });
            assert!(write(now, &mut stores, cut, u64::MAX, &record));
            refills.insert(id, amount);
        }
        let live: BTreeSet<Holder> =
            proxies.iter().filter(|p| now >= p.dead_until).map(|p| p.me.clone()).collect();
        if let Some(core) = core.as_mut() {
            if now >= core.beat + BEAT {
                core.beat = now;
                let is_refill = |record: &Record| matches!(record, Record::Refill { .. });
                let refilled: Vec<Record> =
                    stores.iter().flat_map(|(_, store)| store.records().take_while(is_refill)).collect();
                refilled.into_iter().for_each(|record| core.account.merge(now, record));
                let sums = core.account.sums();
                let news = core.gate.step(sums.balance, sums.leased, PRICES[0], PROXIES);
                live.iter().for_each(|to| net.send(now, Some(to.clone()), Word::News(news)));
                for (block, _) in core.account.unsettled().filter(|(block, _)| live.contains(&block.holder)) {
                    net.send(now, Some(block.holder.clone()), Word::AskedAfter(block.id));
                }
                dry_since = (sums.balance < PRICES[0]).then(|| dry_since.unwrap_or(now));
                match (news.level, empty_since) {
                    (Level::Empty, None) => {
                        empty_since = Some(now);
                        figures.drying.push(now - dry_since.unwrap_or(now));
                        let free: Credits = proxies.iter().map(|p| p.pot.free(now)).sum();
                        figures.stranded.push(free.max(sums.leased));
                    }
                    (Level::Empty, _) => {}
                    _ => empty_since = None,
                }
            }
            let due: Vec<_> = core.account.due(now).cloned().collect();
            for block in due {
                let (inquest, asked) =
                    core.inquests.entry(block.id).or_insert_with(|| (Inquest::new(now, &block), 0));
                if now >= *asked + 100_000 {
                    *asked = now;
                    net.send(now, Some(block.holder.clone()), Word::AskedAfter(block.id));
                    let open: Vec<Holder> = inquest.open().cloned().collect();
                    open.into_iter().for_each(|to| net.send(now, Some(to), Word::Watched(block.id)));
                }
                if let Some((told, ceiling)) = inquest.result(now) {
                    figures.unsure += u64::from(ceiling.is_none());
                    core.unwritten.extend(core.account.settle(block.id, told, ceiling));
                    core.inquests.remove(&block.id);
                }
            }
            core.unwritten.retain(|record| !write(now, &mut stores, cut, core.fence, record));
            let sums = core.account.sums();
            if sums.refilled != sums.balance + sums.leased + sums.settled + sums.unsettled {
                return Err(format!("sums at {now}: {sums:?}"));
            }
            if now % 100_000 == 0 {
                let sum: i128 = core.account.statement().iter().map(|line| line.change).sum();
                if sum != i128::from(sums.balance) || sums.refilled > refills.values().sum() {
                    return Err(format!("the statement at {now} is {sum}: {sums:?}, refills {refills:?}"));
                }
            }
        }
        // Words arrive.
        while let Some(entry) = net.at.first_entry().filter(|entry| entry.key().0 <= now) {
            let (to, word) = entry.remove();
            let Some(to) = to else {
                let Some(core) = core.as_mut() else { continue };
                match word {
                    Word::Ask(from, asked, ask) => {
                        let lease = if core.unwritten.is_empty() {
                            let named = watchers(&from, &live);
                            let wants = (ask.want, ask.need);
                            core.account.lease(now, core.fence, &from, wants, PROXIES, named).ok()
                        } else {
                            None
                        };
                        let granted = lease.and_then(|(lease, record)| {
                            if write(now, &mut stores, cut, core.fence, &record) {
                                return Some(lease);
                            }
                            core.unwritten.push(record);
                            None
                        });
                        if let Some(lease) = &granted {
                            let ceiling = lease.ceiling;
                            truth.insert(lease.id, Truth { granted: now, ceiling, ..Truth::default() });
                        }
                        net.send(now, Some(from), Word::Grant(asked, granted));
                    }
                    Word::Tell(from, tell) => {
                        let Some(record) = core.account.told(&tell) else { continue };
                        if !write(now, &mut stores, cut, core.fence, &record) {
                            continue;
                        }
                        net.send(now, Some(from.clone()), Word::Kept(tell.block, tell.turn, None));
                        if tell.spent.is_some() {
                            net.send(now, Some(from), Word::Closed(tell.block));
                        }
                    }
                    Word::Answer(from, block, kept) => {
                        if let Some((inquest, _)) = core.inquests.get_mut(&block) {
                            inquest.answer(&from, &kept);
                        }
                    }
                    _ => {}
                }
                continue;
            };
            let Some(p) = proxies.iter_mut().find(|p| p.me == to && now >= p.dead_until) else { continue };
            if now < p.frozen_until {
                net.count += 1;
                net.at.insert((p.frozen_until, net.count), (Some(to), word));
                continue;
            }
            match word {
                Word::Grant(asked, lease) => p.pot.granted(asked, now, lease),
                Word::Kept(block, turn, by) => p.pot.kept(block, turn, by.as_ref()),
                Word::Closed(block) => p.pot.closed(now, block),
                Word::News(news) if p.valve.heard(now, news) => {
                    p.pot.stop(news.level == Level::Empty);
                    if news.level == Level::Low {
                        p.pot.recall();
                    }
                }
                Word::AskedAfter(block) => {
                    if let Some(tell) = p.pot.asked_after(now, block) {
                        net.send(now, None, Word::Tell(to, tell));
                    }
                }
                Word::Watched(block) => net.send(now, None, Word::Answer(to, block, p.watch.asked(block))),
                Word::Tell(from, tell) => {
                    p.watch.heard(now, &tell);
                    net.send(now, Some(from), Word::Kept(tell.block, tell.turn, Some(to)));
                }
                _ => {}
            }
        }
        // The proxies.
        if faults {
            for _ in 0..net.dice(8) {
                requests += 1;
                arrivals.insert((now, requests), PRICES[net.dice(3) as usize]);
            }
            let n = net.dice(PROXIES as u64) as usize;
            if net.dice(400) == 0 && now >= proxies[n].dead_until {
                figures.killed += 1;
                for (id, t) in &mut truth {
                    if let Some(oldest) = proxies[n].pot.oldest(*id) {
                        if t.last > oldest + STALE + 10_000 {
                            return Err(format!("{id:?} was spent for {} us untold", t.last - oldest));
                        }
                    }
                }
                let me = proxies[n].me.clone();
                proxies[n] = Proxy::new(n, me.life + 1);
                proxies[n].dead_until = now + 500_000;
            }
            if net.dice(800) == 0 {
                proxies[n].frozen_until = now + net.dice(2_500_000);
            }
        }
        while let Some(entry) = arrivals.first_entry().filter(|entry| entry.key().0 <= now) {
            let ((_, request), price) = entry.remove_entry();
            let p = &mut proxies[net.dice(PROXIES as u64) as usize];
            if now < p.dead_until || now < p.frozen_until {
                continue;
            }
            match p.valve.arrives(now, now, request, true) {
                Arrival::Go => p.waiting.push((request, price, now)),
                Arrival::Later { back, .. } if now + back < busy => {
                    figures.refused += 1;
                    arrivals.insert((now + back, request), price);
                }
                Arrival::Later { .. } => {}
            }
        }
        for p in proxies.iter_mut().filter(|p| now >= p.dead_until && now >= p.frozen_until) {
            let (pot, open) = (&mut p.pot, &mut p.open);
            p.waiting.retain(|&(request, price, since)| {
                if pot.take(now, request, price) == Take::Go {
                    let sends = now + net.dice(2) * STEP;
                    open.push((request, price, sends, sends + 5_000 + net.dice(200_000), false));
                    return false;
                }
                now < since + 300_000
            });
            open.retain_mut(|(request, price, sends, over, sent)| {
                let Some(block) = pot.block_of(*request) else { return false };
                let t = truth.entry(block).or_default();
                if !*sent && now >= *sends {
                    if !pot.send(now, *request) {
                        return false;
                    }
                    *sent = true;
                    if now >= t.granted + LIFE {
                        t.last = Micros::MAX;
                    }
                    (t.net, t.gross, t.last) = (t.net + *price, t.gross + *price, t.last.max(now));
                    t.under_way += *price;
                    t.most = t.most.max(t.under_way);
                    if net.dice(8) == 0 {
                        // A second server for the same try.
                        pot.send(now, *request);
                    }
                }
                if now < *over {
                    return true;
                }
                let verdict = [
                    ExecutionStatus::NotExecuted,
                    ExecutionStatus::Executed,
                    ExecutionStatus::MayHaveExecuted,
                    ExecutionStatus::Executed,
                ][net.dice(4) as usize];
                t.under_way -= *price;
                if verdict == ExecutionStatus::NotExecuted {
                    t.net -= *price;
                } else {
                    figures.ran += 1;
                }
                pot.done(now, *request, verdict);
                false
            });
            if let Some(ask) = pot.ask(now) {
                net.send(now, None, Word::Ask(p.me.clone(), now, ask));
            }
            for (tell, to) in pot.tick(now) {
                net.send(now, None, Word::Tell(p.me.clone(), tell.clone()));
                to.into_iter().for_each(|to| net.send(now, Some(to), Word::Tell(p.me.clone(), tell.clone())));
            }
        }
        if let Some(t) = truth.iter().find(|(_, t)| t.last == Micros::MAX) {
            return Err(format!("{:?} was spent after its life", t.0));
        }
        if let Some(since) = empty_since {
            let mut in_touch = proxies.iter().filter(|p| now >= p.dead_until && now >= p.frozen_until);
            if in_touch.all(|p| p.valve.level() == Level::Empty)
                && figures.stops.len() < figures.stranded.len()
            {
                figures.stops.push(now - since);
            }
        }
    }
    let account = &core.as_ref().ok_or("no core")?.account;
    let sums = account.sums();
    if sums.refilled != refills.values().sum::<Credits>() {
        return Err(format!("refilled {} for {refills:?}", sums.refilled));
    }
    if sums.leased != 0 {
        return Err(format!("never settled: {sums:?}"));
    }
    let parts: BTreeMap<BlockId, (Credits, Credits)> =
        account.statement().iter().fold(BTreeMap::new(), |mut all, line| {
            let (id, settled) = match line.reason {
                Reason::Settled(id) => (id, true),
                Reason::Unsettled(id) => (id, false),
                _ => return all,
            };
            let part: &mut (Credits, Credits) = all.entry(id).or_default();
            *(if settled { &mut part.0 } else { &mut part.1 }) += line.amount;
            all
        });
    for (id, t) in &truth {
        let block = account.block(*id).ok_or(format!("{id:?} was granted and is unknown"))?;
        let (settled, unsettled) = parts.get(id).copied().unwrap_or_default();
        let told =
            format!("{settled} settled, {unsettled} unsettled, {} ran, {} sent: {block:?}", t.net, t.gross);
        if matches!(block.end, Some(End::Returned { .. })) && settled != t.net {
            return Err(format!("returned: {told}"));
        }
        if settled > t.gross || settled + unsettled < t.net {
            return Err(format!("lost: {told}"));
        }
        if let Some(End::Lost { ceiling }) = block.end {
            figures.lost_blocks += 1;
            figures.unsettled = (figures.unsettled.0.max(unsettled), figures.unsettled.1 + unsettled);
            if ceiling < block.amount {
                figures.sure = (figures.sure.0.max(unsettled), figures.sure.1 + unsettled);
            }
            let bound = 2 * t.ceiling.max(PRICES[2]) + t.most;
            let lives = proxies.iter().any(|p| p.me == block.holder);
            if lives || unsettled > bound && ceiling < block.amount {
                return Err(format!("more than {bound}, or its holder lives: {told}"));
            }
        }
    }
    Ok(())
}

/// Plays of 10 s with faults and 9 s without.
fn plays(seeds: std::ops::Range<u64>) -> Figures {
    let mut figures = Figures::default();
    for seed in seeds {
        if let Err(what) = play(seed, &mut figures) {
            panic!("seed {seed}: {what}");
        }
    }
    figures.stops.sort_unstable();
    figures.drying.sort_unstable();
    let late = figures.stops.iter().filter(|&&stop| stop > STOP).count();
    let (f, stops) = (&figures, &figures.stops);
    println!(
        "{} ran, {} refused, {} proxies killed, {} blocks lost",
        f.ran, f.refused, f.killed, f.lost_blocks
    );
    println!("unsettled {:?} worst and sum, of sure ones {:?}; {} not sure", f.unsettled, f.sure, f.unsure);
    println!("stopped after {:?} (median), {:?} (worst)", stops.get(stops.len() / 2), stops.last());
    let dry = &figures.drying;
    println!("said {:?} (median), {:?} (worst) after the last lease", dry.get(dry.len() / 2), dry.last());
    println!("{late} of {} stops later than {STOP} us", stops.len());
    println!("stranded at empty {:?} of {} at the worst", f.stranded.iter().max(), f.stranded.len());
    // What a proxy has taken back and not told yet comes on top of what the core knows.
    expect_that!(figures.stranded.iter().max(), some(lt(&(PRICES[0] * PROXIES as u64 + PRICES[2]))));
    // Two words in a row may be lost, and one may be 3 s late.
    expect_that!(late * 20, le(stops.len()));
    figures
}

#[gtest]
fn under_random_load_with_faults_the_invariants_hold() {
    let figures = plays(0..8);
    expect_that!(figures.ran, gt(1_000));
    expect_that!(figures.killed, gt(20));
}

#[gtest]
#[ignore = "a minute"]
fn so_they_do_in_four_hundred_plays() {
    plays(1_000..1_400);
}

#[gtest]
fn each_seeded_defect_is_found() {
    use Defect::*;
    for defect in [DoubleRefill, BatchTwice, SpentAfterLife, SecondServer, UnsettledForgiven] {
        SEEDED.set(Some(defect));
        let found = (0..8).find_map(|seed| play(seed, &mut Figures::default()).err());
        SEEDED.set(None);
        println!("{defect:?}: {found:?}");
        expect_that!(found, some(anything()), "{defect:?}");
    }
}
