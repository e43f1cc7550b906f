//! Tests that a region whose daemons are paused is treated as unreachable, not as dead, and is used
//! again afterwards.

use crate::support::{DaemonProcess, Mesh, VmSpec, eventually, request, send, try_run_counts};

const fn vm(vm: &'static str, region: &'static str, domain: &'static str) -> VmSpec {
    VmSpec { vm, region, domain }
}

const EST: [VmSpec; 2] = [
    vm("est-a-1", "qc-est", "est-a"),
    vm("est-b-1", "qc-est", "est-b"),
];

const OUEST: [VmSpec; 2] = [
    vm("ouest-a-1", "qc-ouest", "ouest-a"),
    vm("ouest-b-1", "qc-ouest", "ouest-b"),
];

/// Waits until a daemon sees all four members alive, those of `region` with the given reachability,
/// and the others reachable.
///
/// Two daemons of each failure domain probe the other regions every 5 s, and every 1 s after the
/// first result that contradicts the current reachability. A region is unreachable while more than
/// half of the last eight probes failed. After eight successes this takes five failures, which with
/// probe timeouts of 1 s is about 11 s. The other daemons of the region learn of the change from
/// their next probes.
async fn wait_for_reachability(daemon: &DaemonProcess, region: &str, reachable: bool) {
    eventually("members with the expected reachability", || async {
        let members = daemon.ctl_json(&["members"]);
        let text = members.to_string();
        let list = members.as_array().cloned().unwrap_or_default();
        let alive = list
            .iter()
            .filter(|m| m["member"]["state"] == "alive")
            .count();
        let matches = |m: &&serde_json::Value| {
            let is_other = m["member"]["region"] == region;
            m["reachable"] == (if is_other { reachable } else { true })
        };
        let matching = list.iter().filter(matches).count();
        (alive == 4 && matching == 4).then_some(()).ok_or(text)
    })
    .await;
}

/// Sends a `GET` request and returns the status and, for a refusal, the problem document.
async fn get(entry: &DaemonProcess, host: &str) -> Result<(u16, serde_json::Value), String> {
    let response = send(
        entry.callers,
        request("GET", host, "/", &[("x-request-id", host)], ""),
    )
    .await?;
    let status = response.status.as_u16();
    let body = if status == 200 {
        serde_json::Value::Null
    } else {
        response.json()
    };
    Ok((status, body))
}

/// Guards against four failures while a region is unreachable or afterwards: its members are
/// declared dead, requests wait for it, its daemons miss a configuration change, or daemons still
/// see it as unreachable after its return.
#[tokio::test]
async fn members_of_an_unreachable_region_stay_alive_and_return() {
    let mesh = Mesh::start("regions");
    let first = mesh.start_daemon(EST[0], &[]);
    let second = mesh.start_daemon(EST[1], &[first.peers]);
    let est = [first, second];
    let ouest = OUEST.map(|spec| mesh.start_daemon(spec, &[est[0].peers, est[1].peers]));
    let est_upstreams = [&est[0], &est[1]].map(|d| d.start_upstream("cardview", 10));
    let ouest_upstreams = [
        ouest[0].start_upstream("cardview", 10),
        ouest[1].start_upstream("ledger", 10),
    ];
    est[0].put_service("cardview", &[]);
    est[0].put_service("ledger", &[]);
    for daemon in est.iter().chain(&ouest) {
        daemon.wait_for_members(4).await;
    }
    eventually("request to the other region", || async {
        let (status, body) = get(&est[0], "ledger.test").await?;
        (status == 200).then_some(()).ok_or(body.to_string())
    })
    .await;

    let before = try_run_counts(ouest_upstreams[0].1)
        .await
        .expect("run counts of the upstream");
    for daemon in &ouest {
        daemon.process.signal("STOP");
    }
    for daemon in &est {
        wait_for_reachability(daemon, "qc-ouest", false).await;
    }
    for daemon in &est {
        for _ in 0..20 {
            let (status, body) = get(daemon, "cardview.test").await.expect("daemon responds");
            assert_eq!(status, 200, "{body}");
        }
        // The only upstream is in the unreachable region, so the daemon refuses the request
        // immediately, without waiting for a timeout.
        let (status, body) = get(daemon, "ledger.test").await.expect("daemon responds");
        assert_eq!(
            (status, &body["outcome"]),
            (503, &"not-run".into()),
            "{body}"
        );
        assert_eq!(body["reason"], "no-upstream", "{body}");
    }
    // A change that the daemons of the unreachable region must apply after their return.
    est[0].ctl(&["team", "put", "paie"]);

    for daemon in &ouest {
        daemon.process.signal("CONT");
    }
    for daemon in est.iter().chain(&ouest) {
        wait_for_reachability(daemon, "qc-ouest", true).await;
    }
    eventually("change in force everywhere", || async {
        let revisions: Vec<_> = est
            .iter()
            .chain(&ouest)
            .map(|d| d.ctl_json(&["status"])["revision"].clone())
            .collect();
        let same = revisions.iter().all(|r| *r == revisions[0]);
        same.then_some(()).ok_or(format!("{revisions:?}"))
    })
    .await;
    eventually("request to the region after its return", || async {
        let (status, body) = get(&est[1], "ledger.test").await?;
        (status == 200).then_some(()).ok_or(body.to_string())
    })
    .await;
    let after = try_run_counts(ouest_upstreams[0].1)
        .await
        .expect("run counts of the upstream");
    assert_eq!(
        after, before,
        "no request for cardview may leave its region"
    );
    for (_, upstream) in &est_upstreams {
        try_run_counts(*upstream)
            .await
            .expect("upstream in qc-est is running");
    }
}
