//! Writes results and errors as text for people.

use std::io::{Result, Write};

use cornelvalve_api::{
    Explanation, InForceReport, LeaveReport, MemberReport, PublishReport, Status, TimelineEvent,
};
use cornelvalve_model::{Change, Operation, Rule, Service, VersionedEntry};

use crate::CtlError;
use crate::trace::TraceEvent;

pub(super) fn write_error(out: &mut dyn Write, error: &CtlError) -> Result<()> {
    writeln!(out, "error: {}", error.message)?;
    writeln!(out, "remedy: {}", error.remedy)
}

pub(super) fn write_published(
    out: &mut dyn Write,
    change: &Change,
    report: &PublishReport,
) -> Result<()> {
    let target = change.operation.target();
    writeln!(out, "{target}: {}", report.verdict)?;
    if let Some(revision) = report.revision {
        writeln!(out, "revision {revision}")?;
    }
    for vm in &report.unconfirmed {
        writeln!(out, "not confirmed by {vm}")?;
    }
    Ok(())
}

pub(super) fn write_entries(out: &mut dyn Write, entries: &[VersionedEntry]) -> Result<()> {
    for entry in entries {
        let target = entry.operation.target();
        writeln!(
            out,
            "{target} (revision {}){}",
            entry.revision,
            entry_details(&entry.operation)
        )?;
    }
    Ok(())
}

/// Returns the text that follows the name and revision of an entry in a list.
fn entry_details(operation: &Operation) -> String {
    match operation {
        Operation::PutDomain { region, state, .. } => format!(": {state}, region {region}"),
        Operation::PutService(service) => service_details(service),
        Operation::PutRule(rule) => rule_details(rule),
        _ => String::new(),
    }
}

fn service_details(service: &Service) -> String {
    let mut text = format!(
        ": hosts {}, timeout {} ms",
        service.hosts.join(" "),
        service.timeout_ms
    );
    for route in &service.routes {
        text += &format!("\n  route {} {} {}", route.name, route.prefix, route.class);
    }
    text
}

fn rule_details(rule: &Rule) -> String {
    let mut text = String::from(":");
    let parts = [
        ("team", rule.team.as_ref().map(|t| t.as_str())),
        ("service", rule.service.as_ref().map(|s| s.as_str())),
        ("route", rule.route.as_ref().map(|r| r.as_str())),
    ];
    for (kind, name) in parts {
        if let Some(name) = name {
            text += &format!(" {kind} {name}");
        }
    }
    let regions: Vec<&str> = rule.regions.iter().map(|r| r.as_str()).collect();
    text + " only in " + &regions.join(" ")
}

pub(super) fn write_status(out: &mut dyn Write, status: &Status) -> Result<()> {
    let revision = match status.revision {
        Some(revision) => revision.to_string(),
        None => "none".to_owned(),
    };
    writeln!(
        out,
        "VM {}, failure domain {}, region {}",
        status.vm, status.domain, status.region
    )?;
    writeln!(out, "incarnation {}", status.incarnation)?;
    writeln!(
        out,
        "revision {revision}, next offset {}",
        status.next_offset
    )?;
    writeln!(out, "log store {}", status.log_store)?;
    let members = &status.members;
    writeln!(
        out,
        "members: {} alive, {} suspect, {} leaving, {} left, {} dead, {} unreachable",
        members.alive,
        members.suspect,
        members.leaving,
        members.left,
        members.dead,
        members.unreachable
    )?;
    for upstream in &status.upstreams {
        writeln!(
            out,
            "upstream of {} on port {}: {}, {} running, {} queued, limit {} of {} slots",
            upstream.service,
            upstream.port,
            upstream.state,
            upstream.running,
            upstream.queued,
            upstream.limit,
            upstream.slots
        )?;
    }
    for record in &status.bad_records {
        writeln!(
            out,
            "skipped record at offset {}: {}",
            record.offset, record.reason
        )?;
    }
    Ok(())
}

pub(super) fn write_members(out: &mut dyn Write, members: &[MemberReport]) -> Result<()> {
    for MemberReport { member, reachable } in members {
        let suffix = if *reachable { "" } else { ", unreachable" };
        writeln!(
            out,
            "{} {} {} {}{suffix}, operators {}",
            member.vm, member.region, member.domain, member.state, member.operator_addr
        )?;
        for upstream in &member.upstreams {
            writeln!(
                out,
                "  {} port {}: {}",
                upstream.service, upstream.port, upstream.state
            )?;
        }
    }
    Ok(())
}

pub(super) fn write_in_force(out: &mut dyn Write, report: &InForceReport) -> Result<()> {
    writeln!(
        out,
        "revision {}: confirmed by {}",
        report.revision, report.confirmed
    )?;
    for vm in &report.unconfirmed {
        writeln!(out, "not confirmed by {vm}")?;
    }
    Ok(())
}

pub(super) fn write_timeline(out: &mut dyn Write, events: &[TimelineEvent]) -> Result<()> {
    for event in events {
        writeln!(out, "{} {} {}", event.at, event.vm, event.event)?;
    }
    Ok(())
}

pub(super) fn write_leave_reports(out: &mut dyn Write, reports: &[LeaveReport]) -> Result<()> {
    for report in reports {
        writeln!(
            out,
            "{}: {}, {} requests running",
            report.vm, report.state, report.running
        )?;
    }
    Ok(())
}

pub(super) fn write_explanation(out: &mut dyn Write, explanation: &Explanation) -> Result<()> {
    let service = explanation.service.as_ref().map_or("none", |s| s.as_str());
    let route = explanation.route.as_ref().map_or("none", |r| r.as_str());
    writeln!(
        out,
        "service {service}, route {route}, class {}",
        explanation.class
    )?;
    if let Some(regions) = &explanation.home_regions {
        let names: Vec<&str> = regions.iter().map(|r| r.as_str()).collect();
        writeln!(out, "home regions: {}", names.join(" "))?;
    }
    for candidate in &explanation.candidates {
        writeln!(
            out,
            "candidate {} in {} ({}), score {:.3}",
            candidate.vm, candidate.domain, candidate.region, candidate.score
        )?;
    }
    if let Some(refusal) = &explanation.refusal {
        writeln!(out, "refused: {refusal}")?;
    }
    Ok(())
}

pub(super) fn write_trace(out: &mut dyn Write, events: &[TraceEvent]) -> Result<()> {
    let width = events.iter().map(|e| e.log.len()).max().unwrap_or_default();
    for event in events {
        let TraceEvent {
            at, log, request, ..
        } = event;
        write!(out, "{at} {log:width$} {request} {}", event.event)?;
        for (name, value) in &event.fields {
            write!(out, " {name}={value}")?;
        }
        writeln!(out, ": {}", event.message)?;
    }
    Ok(())
}
