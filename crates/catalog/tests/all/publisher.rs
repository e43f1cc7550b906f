//! Runner of the publisher scenarios.

use std::error::Error;

use cornelvalve_catalog::{ChangeRecord, PastVerdict, Publisher, PublisherEvent};
use cornelvalve_model::{Offset, Revision};
use goldenscript::{ArgumentConsumer, Command, Context};

use crate::operation::{Result, change_id, positional};

struct Scenario {
    publisher: Publisher,
}

fn offset(args: &mut ArgumentConsumer<'_>) -> Result<Offset> {
    Ok(Offset(positional(args, "offset")?.parse()?))
}

/// Parses `OFFSET:ID`.
fn seen(text: &str) -> Result<ChangeRecord> {
    let (offset, id) = text.split_once(':').ok_or("give OFFSET:ID")?;
    Ok(ChangeRecord {
        offset: Offset(offset.parse()?),
        id: change_id(id),
    })
}

fn verdict(args: &mut ArgumentConsumer<'_>) -> Result<PastVerdict> {
    Ok(match positional(args, "verdict")? {
        "accepted" => PastVerdict::Accepted(Revision(positional(args, "revision")?.parse()?)),
        "rejected" => PastVerdict::Rejected("the entry changed".to_owned()),
        _ => PastVerdict::NotRetained,
    })
}

impl goldenscript::Runner for Scenario {
    type Command = Command;

    fn run(
        &mut self,
        command: &Command,
        _context: &Context,
    ) -> std::result::Result<String, Box<dyn Error>> {
        let mut args = command.consume_args();
        let mut changes = Vec::new();
        let past;
        let event = match command.name.as_str() {
            // Starts to publish the change named "mine".
            "publish" => {
                self.publisher = Publisher::new(change_id("mine"), offset(&mut args)?);
                let actions = self.publisher.start();
                return Ok(format!("{actions:?}\n"));
            }
            "appended" => PublisherEvent::Appended {
                offset: offset(&mut args)?,
            },
            "refused" => PublisherEvent::AppendFailed,
            "lost" => PublisherEvent::AppendOutcomeUnknown,
            "read" => {
                let next = args.take_key("next").ok_or("next not given")?.parse()?;
                let at_end = args.take_key("end").is_some();
                while let Some(text) = args.next_pos() {
                    changes.push(seen(text)?);
                }
                PublisherEvent::Read {
                    changes: &changes,
                    next: Offset(next),
                    at_end,
                }
            }
            "read-failed" => PublisherEvent::ReadFailed,
            "gone" => PublisherEvent::RecordsGone {
                first_retained: offset(&mut args)?,
            },
            "due" => PublisherEvent::RetryDue,
            "applied" => {
                past = verdict(&mut args)?;
                PublisherEvent::CatalogVerdict(&past)
            }
            "expired" => PublisherEvent::CallerTimedOut,
            other => return Err(format!("unknown command {other}").into()),
        };
        args.reject_next()?;
        let actions = self.publisher.handle_event(event);
        Ok(format!("{actions:?}\n"))
    }
}

/// Guards against a lost answer that is reported as a failure or makes a change apply twice.
#[test]
fn lost_answers() -> Result<()> {
    let file = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/tests/scenarios/publisher/lost-answers"
    );
    let publisher = Publisher::new(change_id("mine"), Offset(0));
    goldenscript::run(&mut Scenario { publisher }, file)?;
    Ok(())
}
