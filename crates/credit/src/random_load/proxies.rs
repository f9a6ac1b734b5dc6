//! The proxies in a simulation.

use pinerelay_config_state::execution::ExecutionStatus;

use super::simulation::{Simulation, Violation};
use super::world::{
    Delivery, Destination, Message, Network, Proxy, RunningRequest, ServedBlock, WaitingRequest, PRICES,
    PROXIES, STEP,
};
use crate::account::BLOCK_LIFETIME;
use crate::credit_cache::{CreditCache, Reservation, MAX_UNACKNOWLEDGED};
use crate::messages::{BlockId, Holder};
use crate::pause::{Arrival, Level};
use crate::{Credits, Micros};

/// How long a request waits for credit.
const MAX_WAIT: Micros = 300_000;
/// How long a killed proxy is down before it restarts.
const RESTART_DELAY: Micros = 500_000;
/// Added to the longest time for which debits may stay unacknowledged, since a proxy acts in steps.
const STEP_TOLERANCE: Micros = 10_000;

impl Simulation<'_> {
    pub(super) fn deliver_to_proxy(&mut self, holder: Holder, message: Message) {
        let now = self.now;
        let is_recipient = |proxy: &&mut Proxy| proxy.holder == holder && proxy.is_alive(now);
        let Some(proxy) = self.proxies.iter_mut().find(is_recipient) else { return };
        if now < proxy.frozen_until {
            let delivery = Delivery { to: Destination::Proxy(holder), message };
            return self.network.deliver_at(proxy.frozen_until, delivery);
        }
        match message {
            Message::BlockGrant { requested_at, grant } => proxy.cache.granted(requested_at, now, grant),
            Message::AcknowledgedByBackup { block, sequence, backup } => {
                proxy.cache.acknowledged_by_backup(block, sequence, &backup);
            }
            Message::AcknowledgedByCore { block, sequence } => {
                proxy.cache.acknowledged_by_core(block, sequence);
            }
            Message::Closed(block) => proxy.cache.closed(now, block),
            Message::Level(update) if proxy.gate.update(now, update) => {
                proxy.cache.set_stopped(update.level == Level::Empty);
                if update.level == Level::Low {
                    proxy.cache.return_all();
                }
            }
            Message::FinalReportRequest(block) => {
                if let Some(report) = proxy.cache.final_report(now, block) {
                    self.send_to_core(Message::Report { from: holder, report });
                }
            }
            Message::BackupRequest(block) => {
                let backup = proxy.backup.block(block);
                self.send_to_core(Message::BackupAnswer { from: holder, block, backup });
            }
            Message::Report { from, report } => {
                proxy.backup.store(now, &report);
                let (block, sequence) = (report.block, report.sequence);
                self.send_to(&from, Message::AcknowledgedByBackup { block, sequence, backup: holder });
            }
            _ => {}
        }
    }

    pub(super) fn add_arrivals(&mut self) {
        if !self.is_under_load() {
            return;
        }
        for _ in 0..self.network.random_below(8) {
            self.last_request += 1;
            let price = PRICES[self.network.random_below(3) as usize];
            self.arrivals.insert((self.now, self.last_request), price);
        }
    }

    pub(super) fn proxy_faults(&mut self) -> Result<(), Violation> {
        if !self.is_under_load() {
            return Ok(());
        }
        let index = self.network.random_below(PROXIES as u64) as usize;
        if self.network.one_in(400) && self.proxies[index].is_alive(self.now) {
            self.kill_proxy(index)?;
        }
        if self.network.one_in(800) {
            self.proxies[index].frozen_until = self.now + self.network.random_below(2_500_000);
        }
        Ok(())
    }

    fn kill_proxy(&mut self, index: usize) -> Result<(), Violation> {
        self.statistics.proxies_killed += 1;
        for (id, served) in &self.served {
            let since = self.proxies[index].cache.unacknowledged_since(*id);
            let latest = since.map(|since| since + MAX_UNACKNOWLEDGED + STEP_TOLERANCE);
            if latest.is_some_and(|latest| served.last_sent > latest) {
                return Err(format!("{id:?} was spent until {} without a report", served.last_sent));
            }
        }
        let process_id = self.proxies[index].holder.process_id;
        self.proxies[index] = Proxy::new(index, process_id + 1);
        self.proxies[index].dead_until = self.now + RESTART_DELAY;
        Ok(())
    }

    pub(super) fn admit_arrivals(&mut self) {
        while let Some(entry) = self.arrivals.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let ((_, id), price) = entry.remove_entry();
            let proxy = &mut self.proxies[self.network.random_below(PROXIES as u64) as usize];
            if !proxy.runs(self.now) {
                continue;
            }
            match proxy.gate.arrive(self.now, self.now, id, true) {
                Arrival::Admitted => proxy.waiting.push(WaitingRequest { id, price, since: self.now }),
                Arrival::Deferred { retry_after, .. } => self.schedule_return(retry_after, id, price),
            }
        }
    }

    /// Schedules the return of a deferred request, if requests still arrive at that time.
    fn schedule_return(&mut self, retry_after: Micros, id: u64, price: Credits) {
        if self.is_under_load_at(self.now + retry_after) {
            self.statistics.deferred += 1;
            self.arrivals.insert((self.now + retry_after, id), price);
        }
    }

    pub(super) fn proxy_steps(&mut self) {
        for index in 0..self.proxies.len() {
            if self.proxies[index].runs(self.now) {
                self.reserve_waiting(index);
                self.run_requests(index);
                self.send_reports(index);
            }
        }
    }

    fn reserve_waiting(&mut self, index: usize) {
        let (now, network) = (self.now, &mut self.network);
        let Proxy { cache, waiting, running, .. } = &mut self.proxies[index];
        waiting.retain(|&WaitingRequest { id, price, since }| {
            if cache.reserve(now, id, price) == Reservation::Waiting {
                return now < since + MAX_WAIT;
            }
            let sent_at = now + network.random_below(2) * STEP;
            let ends_at = sent_at + 5_000 + network.random_below(200_000);
            running.push(RunningRequest { id, price, sent_at, ends_at, is_sent: false });
            false
        });
    }

    fn run_requests(&mut self, index: usize) {
        let now = self.now;
        let Proxy { cache, running, .. } = &mut self.proxies[index];
        let (network, served) = (&mut self.network, &mut self.served);
        let mut executed = 0;
        running.retain_mut(|request| {
            let Some(block) = cache.block_of(request.id) else { return false };
            let served = served.entry(block).or_default();
            if !request.is_sent && now >= request.sent_at && !send(now, request, cache, served, network) {
                return false;
            }
            if now < request.ends_at {
                return true;
            }
            executed += u64::from(finish(now, request, cache, served, network));
            false
        });
        self.statistics.executed += executed;
    }

    fn send_reports(&mut self, index: usize) {
        let now = self.now;
        let proxy = &mut self.proxies[index];
        let from = proxy.holder.clone();
        if let Some(request) = proxy.cache.block_request(now) {
            let request = Message::BlockRequest { from: from.clone(), requested_at: now, request };
            self.network.send(now, Destination::Core, request);
        }
        for (report, backups) in proxy.cache.tick(now) {
            let report = Message::Report { from: from.clone(), report };
            self.network.send(now, Destination::Core, report.clone());
            for backup in backups {
                self.network.send(now, Destination::Proxy(backup), report.clone());
            }
        }
    }

    pub(super) fn check_lifetimes(&self) -> Result<(), Violation> {
        let late = self.served.iter().find(|(_, served)| served.is_spent_after_lifetime);
        let id: Option<&BlockId> = late.map(|(id, _)| id);
        id.map_or(Ok(()), |id| Err(format!("{id:?} was spent after its lifetime")))
    }
}

/// Sends a request to a server. Returns false if its credit could no longer be spent.
fn send(
    now: Micros,
    request: &mut RunningRequest,
    cache: &mut CreditCache,
    served: &mut ServedBlock,
    network: &mut Network,
) -> bool {
    if !cache.note_sending(now, request.id) {
        return false;
    }
    request.is_sent = true;
    served.is_spent_after_lifetime |= now >= served.granted + BLOCK_LIFETIME;
    served.net += request.price;
    served.gross += request.price;
    served.last_sent = served.last_sent.max(now);
    served.under_way += request.price;
    served.most_under_way = served.most_under_way.max(served.under_way);
    if network.one_in(8) {
        // The same request is sent to a second server.
        let _ = cache.note_sending(now, request.id);
    }
    true
}

/// Ends a request with a random outcome. Returns whether it may have been executed.
fn finish(
    now: Micros,
    request: &RunningRequest,
    cache: &mut CreditCache,
    served: &mut ServedBlock,
    network: &mut Network,
) -> bool {
    let execution = [
        ExecutionStatus::NotExecuted,
        ExecutionStatus::Executed,
        ExecutionStatus::MayHaveExecuted,
        ExecutionStatus::Executed,
    ][network.random_below(4) as usize];
    served.under_way -= request.price;
    let may_have_executed = execution != ExecutionStatus::NotExecuted;
    if !may_have_executed {
        served.net -= request.price;
    }
    cache.finish(now, request.id, execution);
    may_have_executed
}
