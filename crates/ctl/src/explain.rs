//! `explain`.

use clap::ArgMatches;
use cornelvalve_api::OperatorsClient;
use cornelvalve_model::TeamName;

use crate::client::Daemons;
use crate::output::Output;
use crate::{Exit, Result};

pub(crate) async fn run(
    sub: &ArgMatches,
    daemons: &Daemons,
    output: &mut Output<'_>,
) -> Result<Exit> {
    let text = |id: &str| sub.get_one::<String>(id).cloned().unwrap_or_default();
    let team = sub.get_one::<TeamName>("team").cloned();
    let explanation = daemons
        .call(async |client| {
            client
                .explain(text("host"), text("path"), text("method"), team.clone())
                .await
        })
        .await?;
    output.explanation(&explanation)?;
    Ok(Exit::Success)
}
