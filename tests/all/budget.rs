//! Cost of control traffic under a flood.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cornelvalve_budget::TrafficClass;
use cornelvalve_budget::{
    REGION_LINK_BYTES_PER_SECOND, REGION_LINK_DAEMONS, TOTAL_BYTES_PER_SECOND,
};
use cornelvalve_membership::{Message, Summary};
use cornelvalve_model::{
    FailureDomain, Incarnation, Member, MemberKey, MemberState, Region, Revision, VmName,
};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::{Mesh, Meter, Received, VmSpec, check_rate};

const VM: VmSpec = VmSpec::new("est-a-1", "qc-est", "est-a");

/// Duration of the flood; longer than the window of ten seconds.
const FLOOD: Duration = Duration::from_secs(11);

/// Shares of the settings file in bytes a second, by [`TrafficClass::ALL`].
const SHARES: [u32; 4] = [3_000, 5_000, 5_000, 1_000];

/// Share of the region link for one daemon in bytes a second.
const LINK_SHARE: u32 = REGION_LINK_BYTES_PER_SECOND / REGION_LINK_DAEMONS;

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
        // Nothing listens on this port by TCP, so pulls fail at once.
        operator_addr: addr,
        state: MemberState::Alive,
        upstreams: Default::default(),
    }
}

/// One of each message that a daemon answers or passes on.
fn flood(count: u32, own: &Member, third: SocketAddr) -> Vec<Message> {
    let revision = Revision(u64::from(count) + 1_000);
    let short = vm_hash(VM.vm);
    vec![
        Message::Ping {
            sequence: count,
            target_hash: short,
            revision,
            updates: Vec::new(),
        },
        Message::IndirectPing {
            sequence: count,
            target_hash: short,
            addr: third,
        },
        Message::Join {
            member: Box::new(own.clone()),
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
            vm_hashes: vec![short],
        },
        Message::RevisionNotice { revision },
        Message::RevisionQuery,
    ]
}

/// Returns the short hash under which a daemon answers probes.
fn vm_hash(vm: &str) -> u32 {
    cornelvalve_membership::vm_hash(&VmName::new(vm).expect("valid name"))
}

/// Guards against control traffic over its budget, by replies that a flood provokes, and against a
/// daemon that amplifies traffic toward a forged address.
#[tokio::test]
async fn flood_of_datagrams_stays_within_the_budgets() {
    let mesh = Mesh::start("budget");
    let daemon = mesh.start_daemon(VM, &[]);
    // A member of the region, one of another region, and an address that never joined.
    let mut meters = [Meter::bind(), Meter::bind(), Meter::bind()];
    let members = [
        member("est-a-9", "qc-est", meters[0].addr()),
        member("ouest-a-9", "qc-ouest", meters[1].addr()),
        member("est-a-8", "qc-est", meters[2].addr()),
    ];
    let third = meters[2].addr();
    for (meter, own) in meters.iter().zip(&members).take(2) {
        let join = Message::Join {
            member: Box::new(own.clone()),
        };
        meter.send(daemon.peers, &join);
    }
    let started = Instant::now();
    let mut count = 0;
    while started.elapsed() < FLOOD {
        count += 1;
        for (index, meter) in meters.iter().enumerate() {
            let messages = flood(count, &members[index], third);
            let is_join = |m: &Message| matches!(m, Message::Join { .. });
            for message in messages.iter().filter(|m| index < 2 || !is_join(m)) {
                meter.send(daemon.peers, message);
            }
        }
        for meter in &mut meters {
            meter.drain();
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    daemon.ctl(&["status"]);

    assert!(SHARES.iter().sum::<u32>() <= TOTAL_BYTES_PER_SECOND);
    let all: Vec<_> = meters.iter().flat_map(|m| m.received()).copied().collect();
    let mut sums = Vec::new();
    for (class, share) in TrafficClass::ALL.into_iter().zip(SHARES) {
        sums.push(check_rate(&all, Some(class), share));
    }
    let crossing: Vec<_> = meters[1..]
        .iter()
        .flat_map(|m| m.received())
        .copied()
        .collect();
    let link = check_rate(&crossing, None, LINK_SHARE);
    assert!(
        sums[..3].iter().all(|sum| *sum > 0),
        "bytes by class: {sums:?}"
    );
    assert!(link > 0, "nothing was sent across the link");
}

/// Calls `peer_records` over a connection of its own and returns the whole response.
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
    while started.elapsed() < FLOOD {
        let after = Instant::now();
        let response = pull(daemon.operators).await;
        if String::from_utf8_lossy(&response).contains("\"records\"") {
            let bytes = response.len() as u64;
            granted.push(Received::new(after, bytes, TrafficClass::Configuration));
        } else {
            refused += 1;
        }
    }
    let sum = check_rate(&granted, None, SHARES[2]);
    assert!(
        sum > 0 && refused > 0,
        "{sum} bytes granted, {refused} pulls refused"
    );
}
