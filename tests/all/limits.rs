//! Limits that operators set.

use crate::support::{DaemonOptions, Mesh, VmSpec, eventually, request, run_counts, send};

const HOST: &str = "cardview.test";

const VM: VmSpec = VmSpec::new("ishikari-a-1", "ishikari", "ishikari-a");

/// Starts a daemon with a setting and an upstream of some slots, sends requests at once and returns
/// how many were answered and how many of the others ran.
async fn send_at_once(name: &str, settings: &str, slots: u16, count: usize) -> (usize, u64) {
    let mesh = Mesh::start(name);
    let options = DaemonOptions {
        settings,
        ..DaemonOptions::default()
    };
    let daemon = mesh.start_daemon_with(VM, &[], &options);
    let (_upstream, addr) = daemon.start_upstream("cardview", slots);
    daemon.ctl(&["region", "put", "ishikari"]);
    daemon.ctl(&["service", "put", "--name", "cardview", "--host", HOST]);
    eventually("first answer", || async {
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
    let (mut answered, mut refused_runs) = (0, 0);
    for (n, call) in calls.into_iter().enumerate() {
        let response = call.await.expect("call ends").expect("daemon answers");
        if response.status.is_success() {
            answered += 1;
        } else {
            assert_eq!(response.outcome(), Some("not-run"), "{response:?}");
            let ran = run_counts(addr).await;
            refused_runs += ran.get(&format!("call-{n}")).copied().unwrap_or(0);
        }
    }
    (answered, refused_runs)
}

/// Guards against a queue that ignores its setting: one request runs, one waits, two are refused.
#[tokio::test]
async fn queue_holds_as_many_as_its_setting() {
    let settings = r#""limits": { "queue": 1 },"#;
    assert_eq!(send_at_once("limits-queue", settings, 1, 4).await, (2, 0));
}

/// Guards against more connections to the upstream than its setting: with room for one, the other
/// request waits, and the queue of one is full.
#[tokio::test]
async fn upstream_gets_no_more_connections_than_its_setting() {
    let settings = r#""upstream": { "connections": 1 }, "limits": { "queue": 1 },"#;
    let name = "limits-connections";
    assert_eq!(send_at_once(name, settings, 10, 4).await, (2, 0));
}
