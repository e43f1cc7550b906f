//! Tests of individual rules of the state machine.
//!
//! Before a mesh is tested it runs for 70 s. Seeds are contacted again after 60 s, so all members
//! know each other by then.

use std::time::Duration;

use cornelvalve_budget::{REGION_LINK_BYTES_PER_SECOND, TrafficClass};
use cornelvalve_membership::{Action, Event, Membership, MembershipSettings, Message, Update};
use cornelvalve_model::{Incarnation, MemberKey, MemberState, Moment, Revision};

use crate::mesh::{Mesh, member};

fn membership() -> Membership {
    Membership::new(
        MembershipSettings::default(),
        member("own", "east", "a", 100),
        1,
    )
}

/// Lets a daemon receive a record from another member.
fn receive_record(membership: &mut Membership, record: cornelvalve_model::Member, now: Moment) {
    let message = Message::Updates {
        updates: vec![Update::Record(Box::new(record))],
    };
    let from = member("other", "east", "a", 200).peer_addr;
    membership.handle_event(Event::Received { from, message }, now);
}

/// Guards against a daemon that accepts its own death, and against one that keeps an incarnation
/// that other members consider older than a previous one.
#[test]
fn raises_its_key_above_conflicting_records() {
    let mut membership = membership();
    let mut stale = membership.own_record().clone();
    stale.state = MemberState::Dead;
    stale.key = MemberKey {
        incarnation: Incarnation(9),
        version: 4,
    };
    receive_record(&mut membership, stale, Moment::default());
    assert_eq!(membership.own_record().state, MemberState::Alive);
    assert_eq!(membership.own_record().key.incarnation, Incarnation(10));
}

/// Guards against stale updates that revive a member which left, in whatever order updates arrive.
#[test]
fn tombstone_rejects_stale_updates_until_it_expires() {
    let mut membership = membership();
    let alive = member("other", "east", "a", 200);
    let mut left = alive.clone();
    left.state = MemberState::Left;
    left.key.version = 3;
    receive_record(&mut membership, alive.clone(), Moment::default());
    receive_record(&mut membership, left.clone(), Moment::default());
    receive_record(&mut membership, alive.clone(), Moment::default());
    let suspicion = Update::State {
        vm: left.vm.clone(),
        key: left.key,
        state: MemberState::Suspect,
    };
    let message = Message::Updates {
        updates: vec![suspicion],
    };
    let from = alive.peer_addr;
    membership.handle_event(Event::Received { from, message }, Moment::default());
    assert_eq!(
        membership.get(&alive.vm).map(|m| m.state),
        Some(MemberState::Left)
    );
    let mut now = Moment::default();
    // Tombstones expire after 3600 s.
    for _ in 0..3700 {
        now = now + Duration::from_secs(1);
        membership.handle_event(Event::Tick, now);
    }
    assert_eq!(membership.get(&alive.vm), None);
}

/// Guards against daemons with equal tables that select different readers.
#[test]
fn readers_are_two_alive_members_of_the_failure_domain() {
    let mut mesh = Mesh::new(3);
    for index in 0..8 {
        let daemon = mesh.add(&format!("vm-{index}"), "east", "a");
        mesh.start(daemon);
    }
    mesh.run_for(Duration::from_secs(70));
    let domain = mesh.daemons[0].record.domain.clone();
    let names = |i: usize| -> Vec<_> {
        let readers = mesh.membership(i).readers(&domain);
        readers.iter().map(|m| m.vm.clone()).collect()
    };
    let expected = names(0);
    assert_eq!(expected.len(), 2);
    for index in 0..8 {
        assert_eq!(names(index), expected);
        let is_reader = expected.contains(mesh.vm(index));
        assert_eq!(mesh.membership(index).is_reader(), is_reader);
    }
}

/// Guards against a revision query that misses members, for example those of another region.
#[test]
fn revision_query_reaches_every_member() {
    let mut mesh = Mesh::new(5);
    for index in 0..6 {
        let region = if index < 3 { "east" } else { "west" };
        let daemon = mesh.add(&format!("vm-{index}"), region, region);
        mesh.start(daemon);
        mesh.handle_event(daemon, Event::SetRevision(Revision(index).into()));
    }
    mesh.run_for(Duration::from_secs(70));
    mesh.actions.clear();
    mesh.handle_event(5, Event::QueryRevisions);
    mesh.run_for(Duration::from_secs(2));
    let mut reported: Vec<u64> = mesh
        .actions
        .iter()
        .filter_map(|(index, action)| match action {
            Action::RevisionReported { revision, .. } if *index == 5 => {
                Some(revision.log_revision().0)
            }
            _ => None,
        })
        .collect();
    reported.sort_unstable();
    assert_eq!(reported, [0, 1, 2, 3, 4]);
}

/// Guards against invalid messages from unknown or faulty peers that add members or cause a panic.
#[test]
fn ignores_invalid_messages() {
    let mut membership = membership();
    let from = member("other", "east", "a", 200).peer_addr;
    for message in [
        // Not the digests of all buckets.
        Message::SyncBuckets {
            buckets: vec![1; 7],
        },
        // A bucket that is listed twice.
        Message::SyncSummaries {
            buckets: vec![0, 0, 255],
            summaries: Vec::new(),
        },
        // A hash that belongs to no member.
        Message::SyncRequest {
            vm_hashes: vec![u32::MAX],
        },
        // An acknowledgement without a probe.
        Message::IndirectAck { sequence: 0 },
    ] {
        membership.handle_event(Event::Received { from, message }, Moment::default());
    }
    assert_eq!(membership.members().count(), 1);
}

/// Guards against a process that was paused and suspects members whose replies were due during the
/// pause, or declares members dead whose suspicion expired during the pause.
#[test]
fn pause_does_not_count_against_other_members() {
    let mut membership = membership();
    let other = member("other", "east", "a", 200);
    let mut suspect = member("suspect", "east", "a", 300);
    suspect.state = MemberState::Suspect;
    let mut now = Moment::default();
    membership.handle_event(Event::Tick, now);
    receive_record(&mut membership, other.clone(), now);
    let is_ping = |action: &Action| {
        matches!(action, Action::Send { to, message: Message::Ping { .. }, .. }
            if *to == other.peer_addr)
    };
    let mut pinged = false;
    for _ in 0..10 {
        now = now + Duration::from_millis(200);
        pinged |= membership
            .handle_event(Event::Tick, now)
            .iter()
            .any(is_ping);
        if pinged {
            break;
        }
    }
    assert!(pinged);
    receive_record(&mut membership, suspect.clone(), now);
    now = now + Duration::from_secs(60);
    membership.handle_event(Event::Tick, now);
    now = now + Duration::from_millis(200);
    membership.handle_event(Event::Tick, now);
    let state = |vm| membership.get(vm).map(|m| m.state);
    assert_eq!(state(&other.vm), Some(MemberState::Alive));
    assert_eq!(state(&suspect.vm), Some(MemberState::Suspect));
}

/// Guards against two sides of a partition that consider each other dead forever when the seeds
/// through which they could reconnect have left.
#[test]
fn partition_heals_without_seeds() {
    let mut mesh = Mesh::new(11);
    for index in 0..6 {
        let daemon = mesh.add(&format!("vm-{index}"), "east", "a");
        mesh.start(daemon);
    }
    mesh.run_for(Duration::from_secs(70));
    mesh.stop_gracefully(0);
    mesh.stop_gracefully(1);
    mesh.run_for(Duration::from_secs(30));
    mesh.partition = [2, 3].into();
    mesh.run_for(Duration::from_secs(60));
    assert!(mesh.disagreement().is_some());
    mesh.partition.clear();
    mesh.run_for(Duration::from_secs(120));
    assert_eq!(mesh.disagreement(), None);
}

/// Guards against steady-state traffic that exceeds a daemon's budget, or the limit for the link
/// between regions of 37,500 B/s, which is 1% of 30 Mbit/s.
#[test]
fn small_mesh_stays_within_its_budget() {
    let mut mesh = Mesh::new(13);
    let locations = [("east", "a"), ("east", "b"), ("west", "c"), ("west", "d")];
    for index in 0..14 {
        let (region, domain) = locations[index % locations.len()];
        let daemon = mesh.add(&format!("vm-{index}"), region, domain);
        mesh.start(daemon);
    }
    mesh.run_for(Duration::from_secs(120));
    let link = |mesh: &Mesh| -> u64 {
        let sent = mesh
            .daemons
            .iter()
            .map(|d| d.budget.region_link_counters().sent.bytes);
        sent.sum()
    };
    let dropped = |mesh: &Mesh| -> u64 {
        let count = |d: &crate::mesh::Daemon| -> u64 {
            let counters = TrafficClass::ALL.map(|class| d.budget.counters(class));
            counters.iter().map(|c| c.dropped.messages).sum()
        };
        mesh.daemons.iter().map(count).sum()
    };
    let (link_before, dropped_before) = (link(&mesh), dropped(&mesh));
    mesh.run_for(Duration::from_secs(100));
    assert_eq!(dropped(&mesh), dropped_before);
    // Stricter than required: compares the sum of both directions with the limit for one.
    assert!((link(&mesh) - link_before) / 100 < u64::from(REGION_LINK_BYTES_PER_SECOND));
}

/// Guards against a restarted seed that remains alone, because the only other daemon contacts
/// another seed instead, which is still down. Found by the fuzz test. The order in which seeds are
/// contacted depends on the RNG seed.
#[test]
fn contacts_every_seed_again() {
    for rng_seed in 0..8 {
        let mut mesh = Mesh::new(rng_seed);
        for (name, region) in [
            ("s-0", "east"),
            ("s-1", "west"),
            ("w", "west"),
            ("e", "east"),
        ] {
            let daemon = mesh.add(name, region, region);
            mesh.start(daemon);
        }
        mesh.run_for(Duration::from_secs(70));
        mesh.crash(0);
        mesh.run_for(Duration::from_secs(60));
        mesh.stop_gracefully(3);
        mesh.crash(1);
        mesh.run_for(Duration::from_secs(60));
        // Only w is running. The other seed of s-0 is down, so w has to contact s-0.
        mesh.start(0);
        mesh.run_for(Duration::from_secs(100));
        assert_eq!(mesh.disagreement(), None, "RNG seed {rng_seed}");
    }
}

/// Guards against members other than readers that do not learn that a region is unreachable, and
/// against members that still consider it unreachable after the partition has ended.
#[test]
fn all_members_learn_whether_a_region_is_reachable() {
    let mut mesh = Mesh::new(17);
    for index in 0..12 {
        let region = if index < 9 { "east" } else { "west" };
        let daemon = mesh.add(&format!("vm-{index}"), region, region);
        mesh.start(daemon);
    }
    let west = mesh.daemons[11].record.region.clone();
    let reachable = |mesh: &Mesh| {
        let east = (0..9).map(|i| mesh.membership(i).is_region_reachable(&west));
        east.filter(|reachable| *reachable).count()
    };
    mesh.run_for(Duration::from_secs(70));
    assert_eq!(reachable(&mesh), 9);
    mesh.partition = [9, 10, 11].into();
    mesh.run_for(Duration::from_secs(60));
    assert_eq!(reachable(&mesh), 0);
    mesh.run_for(Duration::from_secs(120));
    assert_eq!(reachable(&mesh), 0);
    mesh.partition.clear();
    mesh.run_for(Duration::from_secs(60));
    assert_eq!(reachable(&mesh), 9);
    assert_eq!(mesh.disagreement(), None);
}
