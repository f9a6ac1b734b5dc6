//! Plays recoveries at full size, and prints what becomes of the requests each half second.

use std::process::ExitCode;

use getopts::Options;
use pinerelay_smoker::plan::{Micros, SECOND};
use pinerelay_smoker::recovery::faults::{RecoveryFault, FAULT_ENDS};
use pinerelay_smoker::recovery::plan::{ClientReturn, Costs, EventOrder, Mended, RecoveryPlan};
use pinerelay_smoker::recovery::play;

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "machines", "sizes to play (default 36,100,300)", "N,...");
    options.optopt("", "fault", "what befalls it (default all-power)", "NAME");
    options.optopt("", "seed", "of all lots (default 1)", "N");
    options.optopt("", "seconds", "how long it lasts (default by the fault)", "N");
    options.optopt("", "mended", "causes taken out: silence,ticks,probes,content,lease-work,all", "NAMES");
    options.optopt("", "order", "of events when a tick is due (default messages)", "messages|bounded|tick");
    options.optopt("", "core-message", "microseconds for a message at a registry", "N");
    options.optopt("", "proxy-message", "microseconds for a message at a proxy", "N");
    options.optflag("", "at-once", "clients come back at once, whatever time they are told");
    options.optflag("", "no-costs", "events take no processor time");
    options.optflag("", "fast-links", "bytes take no time on links");
    options.optflag("", "brief", "prints one line for each size");
    options.optflag("h", "help", "print this and end");
    options
}

fn plan(found: &getopts::Matches, machines: usize) -> Option<RecoveryPlan> {
    let name = found.opt_str("fault").unwrap_or_else(|| "all-power".into());
    let (_, fault) = RecoveryFault::ALL.into_iter().find(|(known, _)| *known == name)?;
    let mut plan = RecoveryPlan::of_size(machines, fault, found.opt_get_default("seed", 1).ok()?);
    plan.seconds = found.opt_get_default("seconds", plan.seconds).ok()?;
    for name in found.opt_str("mended").unwrap_or_default().split(',').filter(|name| !name.is_empty()) {
        plan.mended = plan.mended.and(Mended::named(name)?);
    }
    plan.order = match found.opt_str("order").as_deref() {
        None | Some("messages") => EventOrder::MessagesFirst,
        Some("bounded") => EventOrder::BoundedMessages,
        Some("tick") => EventOrder::TickFirst,
        Some(_) => return None,
    };
    if found.opt_present("no-costs") {
        plan.costs = Costs::none();
    }
    plan.costs.core_message = found.opt_get_default("core-message", plan.costs.core_message).ok()?;
    plan.costs.proxy_message = found.opt_get_default("proxy-message", plan.costs.proxy_message).ok()?;
    if found.opt_present("at-once") {
        plan.returns = ClientReturn::AtOnce;
    }
    plan.fast_links = found.opt_present("fast-links");
    Some(plan)
}

fn show(plan: &RecoveryPlan, is_brief: bool) {
    let report = play(plan);
    let end: Micros = plan.seconds * SECOND;
    let name =
        RecoveryFault::ALL.into_iter().find(|(_, fault)| *fault == plan.fault).map_or("", |(name, _)| name);
    let worst = report.worst(FAULT_ENDS + SECOND, end);
    println!(
        "{name}, {} proxies, {} core machines, {} tenants, seed {}: worst second {} from {:.0} s on, below half until {:.0} s, {} quotas exceeded",
        plan.proxies,
        plan.cores,
        plan.tenants,
        plan.seed,
        worst.map_or_else(String::new, |second| format!("{:.2}", second.share())),
        worst.map_or(0.0, |second| (second.from as f64 - FAULT_ENDS as f64) / SECOND as f64),
        report.below_until(0.5),
        report.exceeded.len(),
    );
    let seconds = report.seconds(FAULT_ENDS, end);
    let shares: Vec<String> = seconds.iter().map(|second| format!("{:.2}", second.share())).collect();
    println!("  share admitted by second: {}", shares.join(" "));
    if !is_brief {
        println!("{report}");
    }
}

fn main() -> ExitCode {
    let usage = || options().usage("recovery: plays recoveries at full size");
    let Ok(found) = options().parse(std::env::args().skip(1)) else {
        eprintln!("{}", usage());
        return 2.into();
    };
    if found.opt_present("h") {
        println!("{}", usage());
        return 0.into();
    }
    let machines = found.opt_str("machines").unwrap_or_else(|| "36,100,300".into());
    for machines in machines.split(',') {
        let Some(plan) = machines.parse().ok().and_then(|machines| plan(&found, machines)) else {
            eprintln!("{}", usage());
            return 2.into();
        };
        show(&plan, found.opt_present("brief"));
    }
    0.into()
}
