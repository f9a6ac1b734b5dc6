//! A simulation: its state, its steps, and the core.

use std::collections::{BTreeMap, BTreeSet};

use super::world::{
    write, Core, Delivery, Destination, Message, Network, Proxy, Recovery, ServedBlock, Statistics, Store,
    NO_STORE, PRICES, PROXIES, STEP, STORES,
};
use crate::account::{Account, Record};
use crate::debit_backup::{choose_backups, DebitRecovery};
use crate::messages::{BlockGrant, BlockId, BlockRequest, DebitReport, Holder};
use crate::pause::{Level, LevelController, LevelUpdate, UPDATE_INTERVAL};
use crate::{Credits, Micros};

/// The first phase, in which requests arrive and faults are injected.
const LOAD_PHASE: Micros = 10_000_000;
/// The second phase, without arrivals and faults, in which all leased blocks are to end.
const QUIET_PHASE: Micros = 9_000_000;
/// The interval at which the backups of a lost block are queried.
const QUERY_INTERVAL: Micros = 100_000;
/// The interval at which the statement is checked.
const STATEMENT_INTERVAL: Micros = 100_000;

/// A violated invariant.
pub(super) type Violation = String;

pub(super) struct Simulation<'a> {
    pub now: Micros,
    pub network: Network,
    pub proxies: Vec<Proxy>,
    pub stores: Vec<Store>,
    /// `None` while the core is down.
    pub core: Option<Core>,
    pub served: BTreeMap<BlockId, ServedBlock>,
    /// The operator's refills: their amounts by id.
    pub refills: BTreeMap<String, Credits>,
    /// Requests that have not arrived yet: their prices by time of arrival and id.
    pub arrivals: BTreeMap<(Micros, u64), Credits>,
    pub last_request: u64,
    pub statistics: &'a mut Statistics,
    last_token: u64,
    /// When the core restarts.
    core_starts_at: Micros,
    unreachable_store: usize,
    /// When the level became empty, while it is.
    empty_since: Option<Micros>,
    /// When the balance fell below the cheapest price, while it is below.
    exhausted_since: Option<Micros>,
}

impl<'a> Simulation<'a> {
    pub(super) fn new(seed: u64, statistics: &'a mut Statistics) -> Simulation<'a> {
        Simulation {
            now: 0,
            network: Network::new(seed),
            proxies: (0..PROXIES).map(|index| Proxy::new(index, 1)).collect(),
            stores: (0..STORES).map(|_| Store::default()).collect(),
            core: None,
            served: BTreeMap::new(),
            refills: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            last_request: 0,
            statistics,
            last_token: 0,
            core_starts_at: 0,
            unreachable_store: NO_STORE,
            empty_since: None,
            exhausted_since: None,
        }
    }

    /// Runs all steps and the final checks.
    pub(super) fn run(&mut self) -> Result<(), Violation> {
        for now in (0..LOAD_PHASE + QUIET_PHASE).step_by(STEP as usize) {
            self.now = now;
            self.step()?;
        }
        self.check_end()
    }

    pub(super) fn is_under_load(&self) -> bool {
        self.now < LOAD_PHASE
    }

    /// Whether a time lies in the load phase.
    pub(super) fn is_under_load_at(&self, time: Micros) -> bool {
        time < LOAD_PHASE
    }

    fn step(&mut self) -> Result<(), Violation> {
        self.core_faults();
        self.start_core();
        self.refill()?;
        self.core_step()?;
        self.deliver_all();
        self.add_arrivals();
        self.proxy_faults()?;
        self.admit_arrivals();
        self.proxy_steps();
        self.check_lifetimes()?;
        self.note_stop();
        Ok(())
    }

    fn core_faults(&mut self) {
        if self.is_under_load() && self.network.one_in(300) {
            self.unreachable_store = self.network.random_below(4) as usize;
        }
        if !self.is_under_load() {
            self.unreachable_store = NO_STORE;
        }
        if self.is_under_load() && self.network.one_in(500) {
            self.core = None;
            self.core_starts_at = self.now + 100_000 + self.network.random_below(800_000);
            self.empty_since = None;
        }
    }

    /// Starts the core, which takes the account over from the reachable stores.
    fn start_core(&mut self) {
        if self.core.is_some() || self.now < self.core_starts_at {
            return;
        }
        self.last_token += 1;
        let fencing_token = self.last_token;
        let mut account = Account::default();
        let unreachable = self.unreachable_store;
        for (_, store) in self.stores.iter_mut().enumerate().filter(|(index, _)| *index != unreachable) {
            store.promised_token = fencing_token;
            store.account.records().for_each(|record| account.merge(self.now, record));
        }
        let unwritten = account.take_over(fencing_token);
        let controller = LevelController::new(fencing_token);
        let recoveries = BTreeMap::new();
        self.core = Some(Core { fencing_token, account, controller, recoveries, unwritten, last_update: 0 });
    }

    /// Adds an operator's refill at random, or sends an earlier one again.
    fn refill(&mut self) -> Result<(), Violation> {
        if !self.is_under_load() || !self.network.one_in(250) {
            return Ok(());
        }
        let is_repeated = self.network.one_in(3);
        let number = if is_repeated { self.refills.len().saturating_sub(1) } else { self.refills.len() };
        let id = format!("r{number}");
        let new_amount = 500 + self.network.random_below(4_000);
        let amount = self.refills.get(&id).copied().unwrap_or(new_amount);
        let reachable = usize::from(self.unreachable_store == 0);
        let replica = match &mut self.core {
            Some(core) => &mut core.account,
            None => &mut self.stores[reachable].account,
        };
        let record = replica.refill(&id, amount).map_err(|error| error.to_string())?;
        let record = record.unwrap_or(Record::Refill { id: id.clone(), amount });
        assert!(write(self.now, &mut self.stores, self.unreachable_store, u64::MAX, &record));
        self.refills.insert(id, amount);
        Ok(())
    }

    fn live_holders(&self) -> BTreeSet<Holder> {
        let live = self.proxies.iter().filter(|proxy| proxy.is_alive(self.now));
        live.map(|proxy| proxy.holder.clone()).collect()
    }

    fn core_step(&mut self) -> Result<(), Violation> {
        // Taken out of `self`, since it is used together with other fields.
        let Some(mut core) = self.core.take() else { return Ok(()) };
        self.update_level(&mut core);
        self.recover_expired(&mut core);
        let (now, unreachable, token) = (self.now, self.unreachable_store, core.fencing_token);
        core.unwritten.retain(|record| !write(now, &mut self.stores, unreachable, token, record));
        let result = self.check_totals(&core);
        self.core = Some(core);
        result
    }

    fn update_level(&mut self, core: &mut Core) {
        if self.now < core.last_update + UPDATE_INTERVAL {
            return;
        }
        core.last_update = self.now;
        self.learn_refills(core);
        let totals = core.account.totals();
        let update = core.controller.step(totals.balance, totals.leased, PRICES[0], PROXIES);
        let live = self.live_holders();
        for holder in &live {
            self.send_to(holder, Message::Level(update));
        }
        let unsettled: Vec<(Holder, BlockId)> =
            core.account.unsettled().map(|(block, _)| (block.holder.clone(), block.id)).collect();
        for (holder, block) in unsettled.into_iter().filter(|(holder, _)| live.contains(holder)) {
            self.send_to(&holder, Message::FinalReportRequest(block));
        }
        let is_exhausted = totals.balance < PRICES[0];
        self.exhausted_since = is_exhausted.then(|| self.exhausted_since.unwrap_or(self.now));
        self.note_level(update, totals.leased);
    }

    fn learn_refills(&mut self, core: &mut Core) {
        let is_refill = |record: &Record| matches!(record, Record::Refill { .. });
        let refills = self.stores.iter().flat_map(|store| store.account.records().take_while(is_refill));
        let refills: Vec<Record> = refills.collect();
        refills.into_iter().for_each(|record| core.account.merge(self.now, record));
    }

    fn note_level(&mut self, update: LevelUpdate, leased: Credits) {
        match (update.level, self.empty_since) {
            (Level::Empty, None) => {
                self.empty_since = Some(self.now);
                let delay = self.now - self.exhausted_since.unwrap_or(self.now);
                self.statistics.exhaustion_delays.push(delay);
                let spendable: Credits =
                    self.proxies.iter().map(|proxy| proxy.cache.spendable(self.now)).sum();
                self.statistics.stranded.push(spendable.max(leased));
            }
            (Level::Empty, Some(_)) => {}
            _ => self.empty_since = None,
        }
    }

    /// Queries the holders and backups of expired blocks, and settles these.
    fn recover_expired(&mut self, core: &mut Core) {
        let expired: Vec<_> = core.account.expired_blocks(self.now).cloned().collect();
        for block in expired {
            let new = || Recovery { recovery: DebitRecovery::new(self.now, &block), last_query: 0 };
            let recovery = core.recoveries.entry(block.id).or_insert_with(new);
            if self.now >= recovery.last_query + QUERY_INTERVAL {
                recovery.last_query = self.now;
                self.send_to(&block.holder, Message::FinalReportRequest(block.id));
                let unanswered: Vec<Holder> = recovery.recovery.unanswered().cloned().collect();
                for backup in unanswered {
                    self.send_to(&backup, Message::BackupRequest(block.id));
                }
            }
            if let Some(recovered) = recovery.recovery.result(self.now) {
                self.statistics.uncertain_recoveries += u64::from(recovered.ceiling.is_none());
                let record = core.account.settle(block.id, recovered.debits, recovered.ceiling);
                core.unwritten.extend(record);
                core.recoveries.remove(&block.id);
            }
        }
    }

    fn check_totals(&self, core: &Core) -> Result<(), Violation> {
        let totals = core.account.totals();
        if totals.refilled != totals.balance + totals.leased + totals.settled + totals.unsettled {
            return Err(format!("totals at {}: {totals:?}", self.now));
        }
        if self.now.is_multiple_of(STATEMENT_INTERVAL) {
            let sum: i128 = core.account.statement().iter().map(|line| line.change).sum();
            let refilled: Credits = self.refills.values().sum();
            if sum != i128::from(totals.balance) || totals.refilled > refilled {
                let now = self.now;
                return Err(format!(
                    "the statement at {now} is {sum}: {totals:?}, refills {:?}",
                    self.refills
                ));
            }
        }
        Ok(())
    }

    pub(super) fn send_to(&mut self, holder: &Holder, message: Message) {
        self.network.send(self.now, Destination::Proxy(holder.clone()), message);
    }

    pub(super) fn send_to_core(&mut self, message: Message) {
        self.network.send(self.now, Destination::Core, message);
    }

    fn deliver_all(&mut self) {
        while let Some(Delivery { to, message }) = self.network.next_delivery(self.now) {
            match to {
                Destination::Core => self.deliver_to_core(message),
                Destination::Proxy(holder) => self.deliver_to_proxy(holder, message),
            }
        }
    }

    fn deliver_to_core(&mut self, message: Message) {
        let Some(mut core) = self.core.take() else { return };
        match message {
            Message::BlockRequest { from, requested_at, request } => {
                self.on_block_request(&mut core, from, requested_at, request);
            }
            Message::Report { from, report } => self.on_report(&mut core, from, &report),
            Message::BackupAnswer { from, block, backup } => {
                if let Some(recovery) = core.recoveries.get_mut(&block) {
                    recovery.recovery.answer(&from, &backup);
                }
            }
            _ => {}
        }
        self.core = Some(core);
    }

    fn on_block_request(
        &mut self,
        core: &mut Core,
        from: Holder,
        requested_at: Micros,
        request: BlockRequest,
    ) {
        let grant = if core.unwritten.is_empty() { self.lease(core, &from, request) } else { None };
        if let Some(grant) = &grant {
            let served = ServedBlock { granted: self.now, ceiling: grant.ceiling, ..ServedBlock::default() };
            self.served.insert(grant.id, served);
        }
        self.send_to(&from, Message::BlockGrant { requested_at, grant });
    }

    /// Leases a block. Returns the grant only if a majority of the stores has its record.
    fn lease(&mut self, core: &mut Core, holder: &Holder, request: BlockRequest) -> Option<BlockGrant> {
        let backups = choose_backups(holder, &self.live_holders());
        let token = core.fencing_token;
        let leased = core.account.lease(self.now, token, holder, request, PROXIES, backups);
        let (grant, record) = leased.ok()?;
        if write(self.now, &mut self.stores, self.unreachable_store, token, &record) {
            return Some(grant);
        }
        core.unwritten.push(record);
        None
    }

    fn on_report(&mut self, core: &mut Core, from: Holder, report: &DebitReport) {
        let Some(record) = core.account.apply_report(report) else { return };
        if !write(self.now, &mut self.stores, self.unreachable_store, core.fencing_token, &record) {
            return;
        }
        let DebitReport { block, sequence, .. } = *report;
        self.send_to(&from, Message::AcknowledgedByCore { block, sequence });
        if report.final_total.is_some() {
            self.send_to(&from, Message::Closed(block));
        }
    }

    /// Records the delay until all running proxies have stopped.
    fn note_stop(&mut self) {
        let Some(since) = self.empty_since else { return };
        let mut running = self.proxies.iter().filter(|proxy| proxy.runs(self.now));
        let have_stopped = running.all(|proxy| proxy.gate.level() == Level::Empty);
        if have_stopped && self.statistics.stop_delays.len() < self.statistics.stranded.len() {
            self.statistics.stop_delays.push(self.now - since);
        }
    }
}
