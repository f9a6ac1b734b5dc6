//! Plays with a name: the worst days that the operators told of, each a script of troubles and calls drawn by the seed.

use crate::faults::{Fault, SYNC_TIME};
use crate::plan::{Lot, Micros, Plan, SECOND};
use crate::process::{Places, Proc};
use crate::trouble::{Trouble, Ways};

/// What a script has happen.
#[derive(Debug, Clone)]
pub enum Act {
    /// A trouble.
    Fault(Fault),
    /// An order with this text goes to a machine of the core.
    Order(String, usize),
    /// The order that was made as number n of the script's, from 0, is sent again to a machine.
    Again(usize, usize),
    /// A machine is asked what stands.
    Read(usize),
    /// A machine has to have all that was acknowledged before this moment.
    Caught(usize, Micros),
}

/// A script: what happens, and when.
pub type Script = Vec<(Micros, Act)>;

/// A play with a name.
#[derive(Debug)]
pub struct Scenario {
    /// Its name.
    pub name: &'static str,
    /// What happens in it.
    pub text: &'static str,
    /// How long it lasts, in seconds.
    pub seconds: u64,
    /// Every order of it fits whatever stands, and the operators make none of their own.
    pub all_fit: bool,
    /// Its script.
    pub script: fn(&Plan, Places, &mut Lot) -> Script,
}

/// All of them.
pub const ALL: [Scenario; 6] = [
    Scenario {
        name: "cut-off-core",
        text: "a machine of the core is cut off from the others for 20 s; operators, readers, servers and proxies that start \
               reach it",
        seconds: 45,
        all_fit: false,
        script: cut_off_core,
    },
    Scenario {
        name: "lease-handed-on",
        text: "a machine of the core is cut off with one proxy for a few seconds, over and over; the proxy starts while the \
               core's leases run out",
        seconds: 50,
        all_fit: true,
        script: lease_handed_on,
    },
    Scenario {
        name: "one-number",
        text: "operators set and drop one item with other contents under one revision, at once and one after the other; \
               orders are sent again to any machine, also after their keys have moved",
        seconds: 45,
        all_fit: false,
        script: one_number,
    },
    Scenario {
        name: "second-loss",
        text: "a disk is lost right after an acknowledgement, and the next one right after its repair, over and over; \
               machines are replaced if there are spares",
        seconds: 70,
        all_fit: false,
        script: second_loss,
    },
    Scenario {
        name: "hundreds-of-changes",
        text: "500 changes while a machine of the core is away; it comes back over a link of 2 Mbit/s",
        seconds: 50,
        all_fit: true,
        script: hundreds_of_changes,
    },
    Scenario {
        name: "whose-answer",
        text: "registries and stores restart, stand still and have their connections reset within calls of operators and \
               servers",
        seconds: 40,
        all_fit: true,
        script: whose_answer,
    },
];

/// The scenario of this name.
pub fn named(name: &str) -> Option<&'static Scenario> {
    ALL.iter().find(|scenario| scenario.name == name)
}

fn tenant(name: &str, revision: u64, keys: &[String]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!("[\"{name}\",{revision},[{}]]", keys.join(","))
}

fn set(tenants: &[String]) -> String {
    let columns = r#"["name","revision","api_keys"]"#;
    format!(r#"{{"upsert":{{"tenants":{{"column_names":{columns},"records":[{}]}}}}}}"#, tenants.join(","))
}

fn drop_of(name: &str, revision: u64) -> String {
    format!(r#"{{"remove":{{"tenants":[{{"name":"{name}","revision":{revision}}}]}}}}"#)
}

fn core(plan: &Plan, lot: &mut Lot) -> usize {
    lot.upto(plan.cores as u64) as usize
}

fn other(plan: &Plan, lot: &mut Lot, not: usize) -> usize {
    (not + 1 + lot.upto(plan.cores as u64 - 1) as usize) % plan.cores
}

fn trouble(trouble: Trouble) -> Act {
    Act::Fault(Fault::Now(trouble))
}

fn cut_off_core(plan: &Plan, places: Places, lot: &mut Lot) -> Script {
    let span = 20 * SECOND;
    let cut = core(plan, lot);
    let begin = lot.within(5 * SECOND, 8 * SECOND);
    let proxy = places.proxy(lot.upto(plan.proxies as u64) as usize);
    let what = match lot.upto(3) {
        0 => Trouble::Alone(cut, span),
        // Nothing of the system reaches it, and callers from outside do.
        1 => Trouble::Cut { machine: cut, ways: Ways::Both, outside: false, span },
        _ => Trouble::Split { core: cut, proxy: places.machine(proxy), span },
    };
    let split = matches!(what, Trouble::Split { .. });
    let mut script: Script = vec![(begin, trouble(what))];
    let mut at = begin + SECOND / 10;
    while at < begin + span {
        let n = at / 1_000;
        let act = match lot.upto(3) {
            0 => Act::Read(cut),
            1 => Act::Order(set(&[tenant(&format!("c{}", n % 7), n, &[format!("c{n}")])]), cut),
            _ => Act::Order(
                set(&[tenant(&format!("c{}", n % 7), n, &[format!("c{n}")])]),
                other(plan, lot, cut),
            ),
        };
        script.push((at, act));
        at += lot.within(50_000, 400_000);
    }
    // Proxies that start meanwhile, and for a while hear nobody but the one that is cut off.
    let mut at = begin + 4 * SECOND;
    while at + 6 * SECOND < begin + span {
        let any = places.proxy(lot.upto(plan.proxies as u64) as usize);
        let proc = if split { proxy } else { any };
        let machine = places.machine(proc);
        for from in (0..plan.cores).filter(|from| *from != cut && !split) {
            script.push((at, trouble(Trouble::Part { from, to: machine, span: 4 * SECOND })));
        }
        script.push((at, trouble(Trouble::Kill(proc, SECOND / 2))));
        at += lot.within(2 * SECOND, 5 * SECOND);
    }
    script
}

/// Between a store's last word with the others and a proxy's start lies more than one lease, and less than three.
fn lease_handed_on(plan: &Plan, places: Places, lot: &mut Lot) -> Script {
    let span = 6 * SECOND;
    let mut script = Script::new();
    let mut begin = 4 * SECOND;
    let mut revision = 1_000;
    while begin + span < plan.calm_from() {
        let cut = core(plan, lot);
        let proxy = places.proxy(lot.upto(plan.proxies as u64) as usize);
        script.push((begin, trouble(Trouble::Split { core: cut, proxy: places.machine(proxy), span })));
        let mut at = begin;
        while at < begin + span {
            revision += 1;
            let name = format!("l{}", lot.upto(20));
            let order = set(&[tenant(&name, revision, &[format!("{name}-{revision}")])]);
            script.push((at, Act::Order(order, other(plan, lot, cut))));
            at += lot.within(20_000, 100_000);
        }
        let start = begin + lot.within(2 * SECOND, 5 * SECOND);
        script.push((start, trouble(Trouble::Kill(proxy, SECOND / 10))));
        begin += span + lot.within(3 * SECOND, 4 * SECOND);
    }
    script
}

fn one_number(plan: &Plan, _: Places, lot: &mut Lot) -> Script {
    let mut script = Script::new();
    let mut orders = 0;
    let (mut at, mut revision) = (4 * SECOND, 1_000);
    let mut order = |script: &mut Script, at: Micros, text: String, core: usize| {
        script.push((at, Act::Order(text, core)));
        orders += 1;
        orders - 1
    };
    let mut round = 0;
    while at + 6 * SECOND < plan.calm_from() {
        round += 1;
        revision += lot.within(1, 9);
        let name = format!("n{}", lot.upto(5));
        // At once, or one after the other.
        let apart = [0, 20_000, 400_000][lot.upto(3) as usize];
        let mut made = Vec::new();
        let mut keys = Vec::new();
        for n in 0..2 + lot.upto(2) {
            let text = if lot.chance(4) {
                drop_of(&name, revision)
            } else {
                keys = vec![format!("n{round}-{n}")];
                set(&[tenant(&name, revision, &keys)])
            };
            let core = core(plan, lot);
            made.push(order(&mut script, at + n * apart + lot.upto(3_000), text, core));
        }
        // The keys move on to another tenant, under a higher revision.
        if lot.chance(2) {
            revision += lot.within(1, 9);
            let moved = [tenant(&name, revision, &[]), tenant(&format!("m{}", lot.upto(3)), revision, &keys)];
            let core = core(plan, lot);
            made.push(order(&mut script, at + 2 * SECOND, set(&moved), core));
        }
        for n in made {
            for _ in 0..lot.upto(4) {
                let core = core(plan, lot);
                script.push((at + lot.within(SECOND / 100, 5 * SECOND), Act::Again(n, core)));
            }
        }
        // Answers get lost.
        let machine = core(plan, lot);
        script.push((
            at + lot.upto(30_000),
            match lot.upto(4) {
                0 => trouble(Trouble::Kill(2 * machine + 1, SECOND / 5)),
                1 => trouble(Trouble::Kill(2 * machine, SECOND / 5)),
                2 => trouble(Trouble::Cut { machine, ways: Ways::Out, outside: true, span: SECOND / 4 }),
                _ => trouble(Trouble::Reset(machine)),
            },
        ));
        at += lot.within(SECOND / 2, 2 * SECOND);
    }
    script
}

fn second_loss(_: &Plan, _: Places, _: &mut Lot) -> Script {
    vec![(5 * SECOND, Act::Fault(Fault::Chain))]
}

fn hundreds_of_changes(plan: &Plan, places: Places, lot: &mut Lot) -> Script {
    let away = core(plan, lot);
    let (begin, span) = (4 * SECOND, 27 * SECOND);
    let back = begin + span;
    let gone = match lot.upto(3) {
        0 => Trouble::Power(away, span),
        1 => Trouble::Wipe(away, span),
        _ => Trouble::Cut { machine: away, ways: Ways::Both, outside: true, span },
    };
    let mut script: Script = vec![(begin, trouble(gone))];
    for n in 0..500_u64 {
        // Now and then an item changes again, or is dropped.
        let name = format!("h{}", lot.upto(400));
        let text = if lot.chance(10) {
            drop_of(&name, 1_000 + n)
        } else {
            set(&[tenant(&name, 1_000 + n, &[format!("{name}-a-key-of-some-length-{n}")])])
        };
        script.push((begin + SECOND / 2 + n * 50_000, Act::Order(text, other(plan, lot, away))));
    }
    script.push((back, trouble(Trouble::Slow { machine: away, rate: 250_000, span: 2 * SYNC_TIME })));
    script.push((back + SYNC_TIME, Act::Caught(away, back)));
    // Proxies that start hear it alone, and it is asked what stands.
    for n in 0..8 {
        script.push((back + n * SECOND / 2, Act::Read(away)));
    }
    let proc = places.proxy(lot.upto(plan.proxies as u64) as usize);
    for from in (0..plan.cores).filter(|from| *from != away) {
        let to = places.machine(proc);
        script.push((back + SECOND / 10, trouble(Trouble::Part { from, to, span: 4 * SECOND })));
    }
    script.push((back + SECOND / 10, trouble(Trouble::Kill(proc, SECOND / 4))));
    script
}

fn whose_answer(plan: &Plan, places: Places, lot: &mut Lot) -> Script {
    let mut script = Script::new();
    let mut at = 4 * SECOND;
    let mut n = 0;
    while at < plan.calm_from() {
        n += 1;
        let core = core(plan, lot);
        script.push((
            at,
            match lot.upto(4) {
                0 => Act::Read(core),
                1 => Act::Again(lot.upto(n) as usize, core),
                _ => {
                    let name = format!("w{}", lot.upto(20));
                    Act::Order(set(&[tenant(&name, 1_000 + n, &[format!("{name}-{n}")])]), core)
                }
            },
        ));
        at += lot.within(2_000, 40_000);
    }
    let mut at = 4 * SECOND;
    while at + SECOND < plan.calm_from() {
        let machine = core(plan, lot);
        let proc: Proc = if lot.chance(2) { places.store(machine) } else { places.scout(machine) };
        let span = lot.within(SECOND / 20, 2 * SECOND);
        let (what, lasts) = match lot.upto(4) {
            0 => (Trouble::Kill(proc, span), span),
            1 => (Trouble::Freeze(proc, span), span),
            2 => (Trouble::Power(machine, span), span),
            _ => (Trouble::Reset(machine), 0),
        };
        script.push((at, trouble(what)));
        at += lasts + lot.within(SECOND / 20, SECOND / 2);
    }
    script
}
