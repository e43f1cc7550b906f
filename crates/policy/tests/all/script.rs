//! Helpers for scenario tests: running scenario files and parsing the arguments of commands.
//!
//! A scenario file holds commands and their expected output. The `goldenscript` crate runs the
//! commands and compares the output.

use std::error::Error;
use std::str::FromStr;
use std::time::Duration;

use goldenscript::ArgumentConsumer;

pub(crate) type Result<T> = std::result::Result<T, Box<dyn Error>>;

/// Parses the next positional argument.
pub(crate) fn parse_next<T: FromStr>(args: &mut ArgumentConsumer<'_>) -> Result<T>
where
    T::Err: Error + 'static,
{
    let text = args.next_pos().ok_or("argument missing")?;
    Ok(text.parse()?)
}

/// Parses the argument with this key; returns `None` if there is none.
pub(crate) fn parse_key<T: FromStr>(
    args: &mut ArgumentConsumer<'_>,
    name: &str,
) -> Result<Option<T>>
where
    T::Err: Error + 'static,
{
    Ok(args.take_key(name).map(str::parse).transpose()?)
}

/// Parses the argument with this key as a number of milliseconds; returns `default` if there is
/// none.
pub(crate) fn parse_millis(
    args: &mut ArgumentConsumer<'_>,
    name: &str,
    default: u64,
) -> Result<Duration> {
    Ok(Duration::from_millis(
        parse_key(args, name)?.unwrap_or(default),
    ))
}

/// Runs a file in `tests/scenarios` and compares the output of its commands with the expected one.
pub(crate) fn run(runner: &mut impl goldenscript::Runner, file: &str) {
    let path = format!("{}/tests/scenarios/{file}", env!("CARGO_MANIFEST_DIR"));
    goldenscript::run(runner, path).expect("scenario file is readable");
}
