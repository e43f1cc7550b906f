//! Renders a report as a text table.

use std::fmt::Write;

use crate::{Report, VariantReport};

/// Returns the report as text.
///
/// Latencies are in milliseconds. The differences compare each variant with the first one.
#[must_use]
pub fn render_table(report: &Report) -> String {
    let mut text = String::new();
    // Writing to a string never fails.
    let _ = write_report(&mut text, report);
    text
}

fn write_report(text: &mut String, report: &Report) -> std::fmt::Result {
    writeln!(
        text,
        "{}: {}/s for {} ms each, {} cores, load before {:.1}",
        report.experiment,
        report.rate,
        report.duration_ms,
        report.machine.cores,
        report.machine.load_before
    )?;
    writeln!(
        text,
        "{:<34} {:>7} {:>7} {:>6} {:>6} {:>6} {:>6} {:>6} {:>8} {:>8} {:>8} {:>8}",
        "variant / kind",
        "sent",
        "done",
        "failed",
        "refus.",
        "unkn.",
        "broken",
        "late",
        "p50",
        "p99",
        "p999",
        "max"
    )?;
    for variant in &report.variants {
        write_row(text, &variant.name, &variant.counts, &variant.latency)?;
        if variant.kinds.len() > 1 {
            for kind in &variant.kinds {
                let name = format!("  {}", kind.name);
                write_row(text, &name, &kind.counts, &kind.latency)?;
            }
        }
    }
    write_differences(text, report)?;
    for variant in &report.variants {
        write_details(text, variant)?;
    }
    Ok(())
}

/// Writes the counts and latencies of a variant or kind as one row.
fn write_row(
    text: &mut String,
    name: &str,
    counts: &crate::Counts,
    latency: &crate::Latency,
) -> std::fmt::Result {
    writeln!(
        text,
        "{:<34} {:>7} {:>7} {:>6} {:>6} {:>6} {:>6} {:>6} {:>8.3} {:>8.3} {:>8.3} {:>8.3}",
        name,
        counts.sent,
        counts.completed,
        counts.failed,
        counts.refused,
        counts.unknown,
        counts.broken,
        counts.late,
        millis(latency.p50_us),
        millis(latency.p99_us),
        millis(latency.p999_us),
        millis(latency.max_us)
    )
}

fn millis(micros: u64) -> f64 {
    micros as f64 / 1e3
}

/// Writes how much the latencies of each other variant differ from those of the first.
fn write_differences(text: &mut String, report: &Report) -> std::fmt::Result {
    let Some((first, others)) = report.variants.split_first() else {
        return Ok(());
    };
    for other in others {
        let (a, b) = (first.latency, other.latency);
        let difference = |before: u64, after: u64| millis(after) - millis(before);
        writeln!(
            text,
            "{} less {}: p50 {:+.3} p90 {:+.3} p99 {:+.3} p999 {:+.3} ms",
            other.name,
            first.name,
            difference(a.p50_us, b.p50_us),
            difference(a.p90_us, b.p90_us),
            difference(a.p99_us, b.p99_us),
            difference(a.p999_us, b.p999_us)
        )?;
    }
    Ok(())
}

/// Writes refusal reasons, checks of tracked runs, scripted events, and costs of a variant.
fn write_details(text: &mut String, variant: &VariantReport) -> std::fmt::Result {
    let name = &variant.name;
    for (reason, count) in &variant.reasons {
        writeln!(text, "{name}: {count} {reason}")?;
    }
    if let Some(count) = variant.false_refusals {
        writeln!(text, "{name}: {count} refused as not run but run")?;
    }
    if let Some(count) = variant.repeated {
        writeln!(text, "{name}: {count} run more than once")?;
    }
    for event in &variant.events {
        let settled = event
            .settled_ms
            .map_or("not settled".to_owned(), |ms| format!("settled in {ms} ms"));
        writeln!(
            text,
            "{name}: at {} ms {}: {settled}, {} sent, {} lost, {} late, runs by VM {:?}{}",
            event.at_ms,
            event.event,
            event.counts.sent,
            event.counts.not_completed(),
            event.counts.late,
            event.runs,
            event
                .problem
                .as_ref()
                .map_or(String::new(), |p| format!(", NO EFFECT: {p}"))
        )?;
    }
    for upstream in variant.upstreams.iter().filter(|u| u.peak_cold > 0) {
        writeln!(
            text,
            "{name}: vm {}: at most {} at once while cold, {} when warm, {} slots",
            upstream.vm, upstream.peak_cold, upstream.peak, upstream.slots
        )?;
    }
    write_control(text, variant)
}

/// Writes the control traffic and resource usage of the daemons of a variant.
fn write_control(text: &mut String, variant: &VariantReport) -> std::fmt::Result {
    let daemons = variant.control.len();
    if daemons == 0 {
        return Ok(());
    }
    let class_rate = |class: &str| -> f64 {
        let rates = variant.control.iter().map(|c| c.sent_rate.get(class));
        rates.flatten().sum()
    };
    let daemon_rate = |c: &crate::ControlReport| -> f64 {
        c.sent_rate
            .iter()
            .filter(|(k, _)| *k != "region-link")
            .map(|(_, v)| v)
            .sum()
    };
    let total: f64 = variant.control.iter().map(daemon_rate).sum();
    let most = variant.control.iter().map(daemon_rate).fold(0.0, f64::max);
    let dropped: f64 = variant
        .control
        .iter()
        .flat_map(|c| c.dropped_rate.values())
        .sum();
    writeln!(
        text,
        "{}: control {:.0} B/s per daemon (most {:.0}), region link {:.0} B/s in all, dropped {:.0} B/s",
        variant.name,
        total / daemons as f64,
        most,
        class_rate("region-link"),
        dropped
    )?;
    let shares: Vec<f64> = variant.control.iter().filter_map(|c| c.cpu_share).collect();
    if shares.is_empty() {
        return Ok(());
    }
    let switches: f64 = variant.control.iter().filter_map(|c| c.switch_rate).sum();
    let rss = variant.control.iter().filter_map(|c| c.rss_kib).max();
    writeln!(
        text,
        "{}: processor {:.2}% of a core per daemon (most {:.2}%), {:.0} thread waits/s, at most {} KiB resident",
        variant.name,
        shares.iter().sum::<f64>() / shares.len() as f64 * 100.0,
        shares.iter().copied().fold(0.0, f64::max) * 100.0,
        switches / daemons as f64,
        rss.unwrap_or(0)
    )
}
