//! Tests the limits in the settings file: the length of the admission queue and the number of
//! connections to an upstream.

use crate::support::{DaemonOptions, Mesh, VmSpec, eventually, request, run_counts, send};

const HOST: &str = "cardview.test";

const VM: VmSpec = VmSpec::new("ishikari-a-1", "ishikari", "ishikari-a");

/// Starts a daemon with settings and an upstream with a number of slots, sends `count` concurrent
/// requests, and returns how many succeeded and how many of the refused ones ran nevertheless.
async fn send_concurrently(name: &str, settings: &str, slots: u16, count: usize) -> (usize, u64) {
    let mesh = Mesh::start(name);
    let options = DaemonOptions {
        settings,
        ..DaemonOptions::default()
    };
    let daemon = mesh.start_daemon_with(VM, &[], &options);
    let (_upstream, addr) = daemon.start_upstream("cardview", slots);
    daemon.ctl(&["region", "put", "ishikari"]);
    daemon.ctl(&["service", "put", "--name", "cardview", "--host", HOST]);
    eventually("first response", || async {
        let get = request("GET", HOST, "/", &[("x-request-id", "first")], "");
        let response = send(daemon.callers, get).await?;
        response
            .status
            .is_success()
            .then_some(())
            .ok_or(format!("{response:?}"))
    })
    .await;
    let calls: Vec<_> = (0..count)
        .map(|n| {
            let id = format!("call-{n}");
            let headers = [("x-request-id", id.as_str()), ("x-work-ms", "1500")];
            tokio::spawn(send(
                daemon.callers,
                request("POST", HOST, "/", &headers, ""),
            ))
        })
        .collect();
    let (mut succeeded, mut refused_runs) = (0, 0);
    for (n, call) in calls.into_iter().enumerate() {
        let response = call.await.expect("call ends").expect("daemon responds");
        if response.status.is_success() {
            succeeded += 1;
        } else {
            assert_eq!(response.outcome(), Some("not-run"), "{response:?}");
            let ran = run_counts(addr).await;
            refused_runs += ran.get(&format!("call-{n}")).copied().unwrap_or(0);
        }
    }
    (succeeded, refused_runs)
}

/// Guards against an admission queue that ignores its setting: of four requests to an upstream with
/// one slot, one runs, one waits and two are refused.
#[tokio::test]
async fn queue_length_follows_its_setting() {
    let settings = r#""limits": { "queue": 1 },"#;
    let (succeeded, refused_runs) = send_concurrently("limits-queue", settings, 1, 4).await;
    assert_eq!((succeeded, refused_runs), (2, 0));
}

/// Guards against more connections to an upstream than the setting allows: with one connection and
/// a queue of one, one request runs, one waits and two are refused, although ten slots are free.
#[tokio::test]
async fn connections_to_an_upstream_follow_their_setting() {
    let settings = r#""upstream": { "connections": 1 }, "limits": { "queue": 1 },"#;
    let name = "limits-connections";
    let (succeeded, refused_runs) = send_concurrently(name, settings, 10, 4).await;
    assert_eq!((succeeded, refused_runs), (2, 0));
}
