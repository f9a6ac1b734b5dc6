//! What befalls a deployment in a recovery.

use crate::plan::{Micros, SECOND};
use crate::process::Body;
use crate::trouble::{Trouble, Ways};
use crate::world::World;

/// How long machines are without power, at most.
const POWER_OFF: Micros = 700_000;
/// Machines come back within this time.
const RETURN_SPREAD: Micros = 50_000;
/// A proxy that stays away comes back after this.
const LATE_PROXY_AFTER: Micros = 30 * SECOND;
/// A killed core machine comes back after this.
const CORE_MACHINE_AFTER: Micros = 20 * SECOND;
/// When the power comes back, or the traffic grows, or a machine is lost: bounds count from here.
pub const FAULT_ENDS: Micros = 8 * SECOND;
/// A burst lasts so long.
pub const BURST_LENGTH: Micros = 6 * SECOND;
/// So many times the traffic come in a burst.
const BURST_FACTOR: f64 = 3.0;
/// Core machines that are lost within a burst, or cut off after it.
const LOST_MACHINES: usize = 2;
/// How long after its begin core machines are lost in a burst. They are back when it ends.
pub const LOSS_IN_BURST: Micros = 2 * SECOND;
/// Core machines are cut off for so long.
const CUT_LENGTH: Micros = 8 * SECOND;

/// A fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecoveryFault {
    /// None.
    None,
    /// All machines are without power.
    AllPower,
    /// The core is without power.
    CorePower,
    /// One core machine that allocates is lost.
    CoreMachine,
    /// Clients send three times the requests.
    Burst,
    /// The same, and then two core machines are cut off.
    BurstAndCut,
    /// The same, and two core machines that allocate are without power for the most of it.
    BurstAndLoss,
    /// All machines are without power, and one proxy stays away for 30 s.
    LateProxy,
}

/// A part of a fault.
#[derive(Debug, Clone, Copy)]
pub enum Step {
    /// These lose power: core, proxies.
    Power {
        /// The proxies, too.
        proxies: bool,
        /// One proxy stays away.
        late: bool,
    },
    /// So many core machines that allocate are without power for so long.
    Lose(usize, Micros),
    /// Core machines are cut off.
    Cut,
}

impl RecoveryFault {
    /// All faults, by their names.
    pub const ALL: [(&str, RecoveryFault); 8] = [
        ("none", RecoveryFault::None),
        ("all-power", RecoveryFault::AllPower),
        ("core-power", RecoveryFault::CorePower),
        ("core-machine", RecoveryFault::CoreMachine),
        ("burst", RecoveryFault::Burst),
        ("burst-and-cut", RecoveryFault::BurstAndCut),
        ("burst-and-loss", RecoveryFault::BurstAndLoss),
        ("late-proxy", RecoveryFault::LateProxy),
    ];

    /// How long a play has to last to show what it brings about.
    pub(crate) fn seconds(self) -> u64 {
        match self {
            RecoveryFault::None => 12,
            RecoveryFault::Burst | RecoveryFault::BurstAndCut | RecoveryFault::BurstAndLoss => 28,
            _ => 22,
        }
    }

    /// What happens when.
    pub(crate) fn steps(self) -> Vec<(Micros, Step)> {
        let off = FAULT_ENDS - POWER_OFF;
        match self {
            RecoveryFault::None | RecoveryFault::Burst => Vec::new(),
            RecoveryFault::AllPower => vec![(off, Step::Power { proxies: true, late: false })],
            RecoveryFault::CorePower => vec![(off, Step::Power { proxies: false, late: false })],
            RecoveryFault::LateProxy => vec![(off, Step::Power { proxies: true, late: true })],
            RecoveryFault::CoreMachine => vec![(FAULT_ENDS, Step::Lose(1, CORE_MACHINE_AFTER))],
            RecoveryFault::BurstAndCut => vec![(FAULT_ENDS + BURST_LENGTH, Step::Cut)],
            RecoveryFault::BurstAndLoss => {
                let lost = Step::Lose(LOST_MACHINES, BURST_LENGTH - LOSS_IN_BURST);
                vec![(FAULT_ENDS + LOSS_IN_BURST, lost)]
            }
        }
    }
}

/// How many times the usual requests come at a moment.
pub(crate) fn burst_factor(fault: RecoveryFault, now: Micros) -> f64 {
    let has_burst =
        matches!(fault, RecoveryFault::Burst | RecoveryFault::BurstAndCut | RecoveryFault::BurstAndLoss);
    if has_burst && (FAULT_ENDS..FAULT_ENDS + BURST_LENGTH).contains(&now) {
        BURST_FACTOR
    } else {
        1.0
    }
}

impl World {
    /// A part of the fault happens.
    pub(crate) fn fault_step(&mut self, step: Step) {
        match step {
            Step::Power { proxies, late } => self.cut_power(proxies, late),
            Step::Lose(machines, span) => {
                for machine in self.allocating_machines(machines) {
                    self.befall(Trouble::Power(machine, span));
                }
            }
            Step::Cut => {
                for machine in self.allocating_machines(LOST_MACHINES) {
                    let ways = Ways::Both;
                    self.befall(Trouble::Cut { machine, ways, outside: false, span: CUT_LENGTH });
                }
            }
        }
    }

    fn cut_power(&mut self, proxies: bool, late: bool) {
        let machines = if proxies { self.places.machines() } else { self.places.cores };
        for machine in 0..machines {
            let stays_away = late && machine + 1 == machines;
            let span = if stays_away { LATE_PROXY_AFTER } else { POWER_OFF - self.lot.upto(RETURN_SPREAD) };
            self.net.drop_queued(machine);
            self.befall(Trouble::Power(machine, span));
        }
    }

    /// Core machines whose registries hold the duty for tenants.
    fn allocating_machines(&self, wanted: usize) -> Vec<usize> {
        let allocates = |core: &usize| {
            let process = &self.procs[self.places.scout(*core)];
            let Some(Body::Scout(registry)) = &process.body else { return false };
            registry.held_slices(process.clock(self.now)) != 0
        };
        (0..self.places.cores).filter(allocates).take(wanted).collect()
    }
}
