//! Runs the cases of the review: starts daemons as separate processes, with stand-ins for the
//! store, the targets and the requesters in this process.
//!
//! Usage: `harness CASE FOLDER`; `FOLDER` gets `record.txt`. Exits with 1 if the rule was broken, 0
//! if it held and 2 if the case could not run.

mod daemon;
mod http;
mod platform;
mod record;
mod steady;
mod store;
mod target;

mod kept;
mod restart;
mod reuse;
mod uploads;

use std::path::{Path, PathBuf};

use record::Record;

/// What a case needs: whether the disruption happens, a folder for settings and logs, the record.
pub struct Setting {
    pub trouble: bool,
    pub folder: PathBuf,
    pub record: Record,
}

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
    Failed(String),
}

/// Longest time that a case may take.
const LONGEST: std::time::Duration = std::time::Duration::from_secs(115);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(out)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: harness CASE FOLDER");
        std::process::exit(2);
    };
    let hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        hook(info);
        daemon::kill_all();
        std::process::exit(2);
    }));
    std::thread::spawn(|| {
        std::thread::sleep(LONGEST);
        eprintln!("the case takes too long");
        daemon::kill_all();
        std::process::exit(2);
    });
    let folder = std::env::temp_dir().join(format!("cornelvalve-review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("temporary folder can be made");
    let setting = Setting {
        trouble: std::env::var("TROUBLE").map_or(true, |t| t != "0"),
        folder: folder.clone(),
        record: Record::create(&Path::new(out).join("record.txt")),
    };
    setting
        .record
        .line(&format!("case {case}, disruption: {}", setting.trouble));
    let verdict = match case.as_str() {
        "reuse" => reuse::run(&setting),
        "kept" => kept::run(&setting),
        "restart" => restart::run(&setting),
        "uploads" => uploads::run(&setting),
        _ => Verdict::Failed("unknown case".to_owned()),
    };
    let code = match verdict {
        Verdict::Held => {
            setting.record.line("the rule held");
            0
        }
        Verdict::Broken => {
            setting.record.line("THE RULE WAS BROKEN");
            1
        }
        Verdict::Failed(reason) => {
            setting
                .record
                .line(&format!("the case could not run: {reason}"));
            eprintln!("the case could not run: {reason}");
            2
        }
    };
    daemon::kill_all();
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        eprintln!("logs of the daemons: {}", folder.display());
    }
    std::process::exit(code);
}
