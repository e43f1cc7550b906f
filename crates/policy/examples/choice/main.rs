//! Simulation that compares load balancing strategies under various faults, in virtual time.
//!
//! It simulates one service with six upstreams that run ten requests concurrently each. Run it with
//! `cargo run --release -p cornelvalve-policy --example choice [LOAD [ENTRIES]]`, where `LOAD` is
//! the offered load as a fraction of the total capacity, 0.5 by default, and `ENTRIES` is the
//! number of daemons that send requests to the upstreams, 6 by default.
//!
//! For each fault and strategy it prints latency percentiles in milliseconds and the share of
//! failed requests. The column `worst s` is the highest 99th percentile among one-second intervals.

mod model;
mod summary;
mod variant;

use std::time::Duration;

use model::Simulation;
use variant::{Fault, VARIANTS};

fn main() {
    let mut arguments = std::env::args().skip(1);
    let load = arguments.next().map_or(Ok(0.5), |text| text.parse());
    let load: f64 = load.expect("LOAD must be a number such as 0.5");
    let entries = arguments.next().map_or(Ok(6), |text| text.parse());
    let entries: usize = entries.expect("ENTRIES must be a whole number such as 6");
    let faults = [
        Fault::None,
        Fault::Straggler,
        Fault::FailsFast,
        Fault::Cold,
        Fault::StaleHints,
        Fault::StaleStraggler,
        Fault::Overload,
    ];
    for fault in faults {
        println!("{fault:?}");
        println!("  variant                         p50     p99    p999  worst s   failed");
        for variant in VARIANTS {
            let summary = Simulation::new(variant, fault, load, entries).run();
            let ms = |d: Duration| d.as_secs_f64() * 1e3;
            println!(
                "  {:28} {:6.1} {:7.1} {:7.1} {:8.1} {:7.3}%",
                variant.name,
                ms(summary.p50),
                ms(summary.p99),
                ms(summary.p999),
                ms(summary.worst_second),
                summary.failed_share * 100.0,
            );
        }
    }
}
