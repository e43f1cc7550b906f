//! Runs `explain`, which shows how a request would be routed.

use clap::ArgMatches;
use cornelvalve_api::OperatorsClient;
use cornelvalve_model::TeamName;

use crate::client::Daemons;
use crate::output::Output;
use crate::{Exit, Result};

/// Asks the first daemon that answers and prints its explanation.
pub(crate) async fn run(
    args: &ArgMatches,
    daemons: &Daemons,
    output: &mut Output<'_>,
) -> Result<Exit> {
    let arg = |id: &str| args.get_one::<String>(id).cloned().unwrap_or_default();
    let team = args.get_one::<TeamName>("team").cloned();
    let explanation = daemons
        .call_first_available(async |client| {
            client
                .explain(arg("host"), arg("path"), arg("method"), team.clone())
                .await
        })
        .await?;
    output.write_explanation(&explanation)?;
    Ok(Exit::Success)
}
