//! Arguments of commands in scenario files.

use std::error::Error;
use std::str::FromStr;
use std::time::Duration;

use goldenscript::ArgumentConsumer;

pub(crate) type Result<T> = std::result::Result<T, Box<dyn Error>>;

/// Parses the next positional argument.
pub(crate) fn next<T: FromStr>(args: &mut ArgumentConsumer<'_>) -> Result<T>
where
    T::Err: Error + 'static,
{
    let text = args.next_pos().ok_or("argument missing")?;
    Ok(text.parse()?)
}

/// Parses the argument with a key, if it is there.
pub(crate) fn key<T: FromStr>(args: &mut ArgumentConsumer<'_>, name: &str) -> Result<Option<T>>
where
    T::Err: Error + 'static,
{
    Ok(args.take_key(name).map(str::parse).transpose()?)
}

/// Parses the argument with a key as milliseconds.
pub(crate) fn millis(
    args: &mut ArgumentConsumer<'_>,
    name: &str,
    default: u64,
) -> Result<Duration> {
    Ok(Duration::from_millis(key(args, name)?.unwrap_or(default)))
}

/// Runs the scenario file of a topic.
pub(crate) fn run(runner: &mut impl goldenscript::Runner, file: &str) {
    let path = format!("{}/tests/scenarios/{file}", env!("CARGO_MANIFEST_DIR"));
    goldenscript::run(runner, path).expect("scenario runs");
}
