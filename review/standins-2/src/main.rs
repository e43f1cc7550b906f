//! Runs one case of the review: starts the daemons with the command of the deploy file, stand-ins
//! for the store, the targets and the requesters, and judges the rule.
//!
//! Usage: `review-case NAME FOLDER`, in the repository's root. Writes `record.txt` to `FOLDER`. Ends
//! with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With `TROUBLE=0` in
//! the environment the disruption is left out.

mod cases;
mod http;
mod machine;
mod record;
mod requester;
mod store;
mod target;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use machine::Site;
use record::Record;

/// Longest run of a case.
const MAX_RUN: Duration = Duration::from_secs(112);

/// Result of a case: whether the rule was broken.
pub type CaseResult = Result<bool, String>;

/// What a case needs.
pub struct Context {
    pub root: PathBuf,
    /// Temporary folder for settings and logs.
    pub scratch: PathBuf,
    pub record: Arc<Record>,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

impl Context {
    /// Finds addresses for `machines` machines and the store.
    pub fn site(&self, machines: u8) -> Result<Site, String> {
        Site::find(&self.root, &self.scratch, machines).ok_or_else(|| "no free ports".to_owned())
    }
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: review-case NAME FOLDER");
        return ExitCode::from(2);
    };
    match run(&name, Path::new(&folder)) {
        Ok(true) => {
            record::say(&format!("{name}: the rule was broken"));
            ExitCode::from(1)
        }
        Ok(false) => {
            record::say(&format!("{name}: the rule held"));
            ExitCode::SUCCESS
        }
        Err(e) => {
            record::say(&format!("{name}: could not run: {e}"));
            ExitCode::from(2)
        }
    }
}

fn run(name: &str, folder: &Path) -> CaseResult {
    let io = |e: std::io::Error| e.to_string();
    let record = Arc::new(Record::create(&folder.join("record.txt")).map_err(io)?);
    let scratch = std::env::temp_dir().join(format!("review-case-{}", std::process::id()));
    std::fs::create_dir_all(&scratch).map_err(io)?;
    let context = Context {
        root: std::env::current_dir().map_err(io)?,
        scratch: scratch.clone(),
        record,
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    context.record.line(&format!(
        "case {name}, disruption: {}",
        if context.trouble { "yes" } else { "no" }
    ));
    let folder = scratch.clone();
    thread::spawn(move || {
        thread::sleep(MAX_RUN);
        record::say("the run took too long");
        let _ = std::fs::remove_dir_all(&folder);
        // The daemons end with this process.
        std::process::exit(2);
    });
    let result = cases::run(name, &context);
    let _ = std::fs::remove_dir_all(&scratch);
    result
}
