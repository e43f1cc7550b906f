//! A desired state raises the limit on bodies while requesters keep their connections. Rule CONFIG.

use std::thread;
use std::time::Duration;

use super::{CONFIG_APPLY, Deployment, Desired, USUAL};
use crate::{CaseResult, Context};

/// Limit of the first desired state and of the second one.
const OLD_LIMIT: u64 = 1_048_576;
const NEW_LIMIT: u64 = 8_388_608;

/// Size of an upload that only the second desired state allows.
const UPLOAD_BYTES: usize = 2 * 1024 * 1024;

/// Number of requesters.
const REQUESTERS: usize = 8;

const DEADLINE: Duration = Duration::from_millis(2500);

/// Runs the case.
pub fn run(context: &Context) -> CaseResult {
    let record = &context.record;
    let first = if context.trouble {
        OLD_LIMIT
    } else {
        NEW_LIMIT
    };
    let deployment = Deployment::start(context, with_limit(first))?;
    let mut requesters: Vec<_> = (0..REQUESTERS)
        .map(|i| deployment.requester(i % deployment.machines.len()))
        .collect();
    for requester in &mut requesters {
        if requester
            .send("POST", "/upload/2f", DEADLINE, b"form")
            .status()
            != 200
        {
            return Err("a small upload was not served".to_owned());
        }
    }
    if context.trouble {
        deployment.write_desired_state(2, with_limit(NEW_LIMIT));
    }
    // Twice the time in which the desired state must be in force.
    thread::sleep(2 * CONFIG_APPLY);
    let body = vec![b'x'; UPLOAD_BYTES];
    let (mut served, mut refused) = (0, 0);
    for requester in &mut requesters {
        let exchange = requester.send("POST", "/upload/2f", DEADLINE, &body);
        let answer = exchange.answer.as_ref();
        let signed = answer.is_some_and(|a| a.header("x-server-signature").is_some());
        served += usize::from(exchange.status() == 200);
        if exchange.status() == 413 && !signed {
            refused += 1;
            record.print(&format!(
                "{:.3} s: upload {} of {UPLOAD_BYTES} bytes was answered 413 by the daemon",
                exchange.sent, exchange.attempt
            ));
        }
    }
    record.print(&format!(
        "{served} uploads served, {refused} refused with 413 though the desired state in force allows them"
    ));
    if served + refused == 0 {
        return Err("no upload was answered".to_owned());
    }
    // CONFIG: a request sent later than `configApplyS` after the confirmation of a version is handled
    // as only an older version allows.
    Ok(refused > 0)
}

fn with_limit(body_bytes: u64) -> Desired {
    Desired {
        body_bytes,
        ..USUAL
    }
}
