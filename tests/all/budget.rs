//! Control traffic must stay within its budgets, also under a flood of datagrams or calls.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cornelvalve_budget::TrafficClass;
use cornelvalve_budget::{
    REGION_LINK_BYTES_PER_SECOND, REGION_LINK_DAEMONS, TOTAL_BYTES_PER_SECOND,
};
use cornelvalve_membership::{Message, Summary};
use cornelvalve_model::{
    ConfigRevision, FailureDomain, Incarnation, Member, MemberKey, MemberState, Region, Revision,
    VmName,
};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::{Mesh, ReceivedData, TrafficMeter, VmSpec, assert_within_rate};

const VM: VmSpec = VmSpec::new("est-a-1", "qc-est", "est-a");

/// Duration of a flood; longer than the ten seconds in which [`assert_within_rate`] limits the
/// bytes.
const FLOOD_DURATION: Duration = Duration::from_secs(11);

/// Default budgets of the traffic classes probe, news, configuration and load in bytes per second,
/// in the order of [`TrafficClass::ALL`].
const CLASS_BUDGETS: [u32; 4] = [3_000, 5_000, 5_000, 1_000];

/// Budget of one daemon on the link between regions, in bytes per second.
const REGION_LINK_BUDGET: u32 = REGION_LINK_BYTES_PER_SECOND / REGION_LINK_DAEMONS;

/// Creates the record of a member whose addresses are all `addr`.
fn member(vm: &str, region: &str, addr: SocketAddr) -> Member {
    Member {
        vm: VmName::new(vm).expect("valid name"),
        key: MemberKey {
            incarnation: Incarnation(1),
            version: 0,
        },
        region: Region::new(region).expect("valid name"),
        domain: FailureDomain::new(&format!("{region}-x")).expect("valid name"),
        peer_addr: addr,
        caller_addr: addr,
        // Nothing accepts TCP connections on this port, so pulls of the configuration fail at once.
        operator_addr: addr,
        state: MemberState::Alive,
        upstreams: Default::default(),
    }
}

/// Returns one of each message that a daemon answers or forwards. `sender` is the member that sends
/// them, `probe_target` an address to which the daemon is asked to send a probe.
fn flood_messages(count: u32, sender: &Member, probe_target: SocketAddr) -> Vec<Message> {
    // Newer than the configuration of the daemon, so that it tries to pull this one.
    let revision = ConfigRevision::from(Revision(u64::from(count) + 1_000));
    let target = vm_hash(VM.vm);
    vec![
        Message::Ping {
            sequence: count,
            target_hash: target,
            revision,
            updates: Vec::new(),
        },
        Message::IndirectPing {
            sequence: count,
            target_hash: target,
            addr: probe_target,
        },
        Message::Join {
            member: Box::new(sender.clone()),
        },
        Message::SyncRoot {
            root: count.into(),
            member: None,
        },
        Message::SyncBuckets {
            buckets: vec![count; 256],
        },
        Message::SyncSummaries {
            buckets: (0..=u8::MAX).collect(),
            summaries: vec![Summary {
                vm_hash: 1,
                record_hash: 1,
            }],
        },
        Message::SyncRequest {
            vm_hashes: vec![target],
        },
        Message::RevisionNotice { revision },
        Message::RevisionQuery,
    ]
}

/// Returns the hash that identifies a VM in messages.
fn vm_hash(vm: &str) -> u32 {
    cornelvalve_membership::vm_hash(&VmName::new(vm).expect("valid name"))
}

/// Guards against replies to a flood that exceed the budgets of control traffic, and against a
/// daemon that amplifies traffic toward a forged address.
#[tokio::test]
async fn flood_of_datagrams_stays_within_the_budgets() {
    let mesh = Mesh::start("budget");
    let daemon = mesh.start_daemon(VM, &[]);
    // A member of the daemon's region, one of another region, and an address that never joins.
    let mut meters = [
        TrafficMeter::bind(),
        TrafficMeter::bind(),
        TrafficMeter::bind(),
    ];
    let members = [
        member("est-a-9", "qc-est", meters[0].addr()),
        member("ouest-a-9", "qc-ouest", meters[1].addr()),
        member("est-a-8", "qc-est", meters[2].addr()),
    ];
    let probe_target = meters[2].addr();
    for (meter, sender) in meters.iter().zip(&members).take(2) {
        let join = Message::Join {
            member: Box::new(sender.clone()),
        };
        meter.send(daemon.peers, &join);
    }
    let started = Instant::now();
    let mut count = 0;
    while started.elapsed() < FLOOD_DURATION {
        count += 1;
        for (index, meter) in meters.iter().enumerate() {
            let messages = flood_messages(count, &members[index], probe_target);
            let is_join = |m: &Message| matches!(m, Message::Join { .. });
            for message in messages.iter().filter(|m| index < 2 || !is_join(m)) {
                meter.send(daemon.peers, message);
            }
        }
        for meter in &mut meters {
            meter.read_pending();
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    // The daemon must still serve operators.
    daemon.ctl(&["status"]);

    assert!(CLASS_BUDGETS.iter().sum::<u32>() <= TOTAL_BYTES_PER_SECOND);
    let all: Vec<_> = meters.iter().flat_map(|m| m.received()).copied().collect();
    let mut totals = Vec::new();
    for (class, budget) in TrafficClass::ALL.into_iter().zip(CLASS_BUDGETS) {
        totals.push(assert_within_rate(&all, Some(class), budget));
    }
    // The daemon cannot know the region of an address that never joined, and charges datagrams to
    // it to the region link as well.
    let across_link: Vec<_> = meters[1..]
        .iter()
        .flat_map(|m| m.received())
        .copied()
        .collect();
    let link_total = assert_within_rate(&across_link, None, REGION_LINK_BUDGET);
    // The flood provokes traffic of all classes but the last one, load.
    assert!(
        totals[..3].iter().all(|total| *total > 0),
        "bytes by class: {totals:?}"
    );
    assert!(
        link_total > 0,
        "nothing was sent across the link between regions"
    );
}

/// Calls `peer_records`, with which daemons pull the configuration, over a new connection and
/// returns the whole response.
async fn pull(operators: SocketAddr) -> Vec<u8> {
    let body =
        r#"{"jsonrpc":"2.0","id":0,"method":"peer_records","params":{"after":0,"max":4294967295}}"#;
    let head = format!(
        "POST / HTTP/1.1\r\nhost: daemon\r\ncontent-type: application/json\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let mut stream = TcpStream::connect(operators).await.expect("daemon accepts");
    let request = format!("{head}{body}");
    stream
        .write_all(request.as_bytes())
        .await
        .expect("request is sent");
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await.expect("response");
    response
}

/// Guards against configuration pulls that make a daemon send more than its budget.
#[tokio::test]
async fn flood_of_pulls_stays_within_the_budget() {
    let mesh = Mesh::start("budget-pulls");
    let daemon = mesh.start_daemon(VM, &[]);
    daemon.put_service("estimateur", &[]);
    let mut granted = Vec::new();
    let mut refused = 0;
    let started = Instant::now();
    while started.elapsed() < FLOOD_DURATION {
        let requested = Instant::now();
        let response = pull(daemon.operators).await;
        if String::from_utf8_lossy(&response).contains("\"records\"") {
            let bytes = response.len() as u64;
            granted.push(ReceivedData::new(
                requested,
                bytes,
                TrafficClass::Configuration,
            ));
        } else {
            refused += 1;
        }
    }
    let total = assert_within_rate(&granted, None, CLASS_BUDGETS[2]);
    assert!(
        total > 0 && refused > 0,
        "{total} bytes granted, {refused} pulls refused"
    );
}
