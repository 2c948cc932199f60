//! How many daemons share a bound on the whole cluster.

use std::time::{Duration, Instant};

use chestnut_base::VmName;
use chestnut_member::Sharers;

const WINDOW: Duration = Duration::from_secs(10);

/// The age of a list that was just confirmed.
const RECENT: Option<Duration> = Some(Duration::from_millis(200));

fn vms(count: usize) -> Vec<VmName> {
    let name = |index: usize| VmName::try_from(format!("vm{index}").as_str());
    (0..count).map(|index| name(index).expect("a valid name")).collect()
}

/// A daemon that has been a member for long.
fn settled(start: Instant) -> Sharers {
    let mut sharers = Sharers::default();
    sharers.record_join(start - 2 * WINDOW);
    sharers
}

/// Guards against shares that grow while what removed daemons have used still counts.
#[test]
fn removed_daemons_are_counted_for_longer_than_a_window() {
    let (all, start) = (vms(6), Instant::now());
    let mut sharers = settled(start);
    for vm in &all[2..] {
        sharers.record_removal(vm.clone(), start);
    }
    let mut count = |after| sharers.count(all[..2].iter(), RECENT, WINDOW, start + after);
    assert_eq!(count(Duration::ZERO), Some(6));
    assert_eq!(count(WINDOW), Some(6));
    assert_eq!(count(2 * WINDOW), Some(2));
}

/// Guards against counting a VM twice whose daemon was removed and has joined again.
#[test]
fn a_daemon_that_has_joined_again_is_counted_once() {
    let (all, start) = (vms(3), Instant::now());
    let mut sharers = settled(start);
    sharers.record_removal(all[0].clone(), start);
    assert_eq!(sharers.count(all.iter(), RECENT, WINDOW, start), Some(3));
}

/// Guards against a daemon without the store that uses the share that it had, while those that
/// have joined since use theirs.
#[test]
fn a_daemon_whose_list_is_old_has_no_share() {
    let (all, start) = (vms(3), Instant::now());
    let mut sharers = settled(start);
    assert_eq!(sharers.count(all.iter(), None, WINDOW, start), None);
    assert_eq!(sharers.count(all.iter(), Some(WINDOW / 2), WINDOW, start), None);
    assert_eq!(sharers.count(all.iter(), Some(WINDOW / 4), WINDOW, start), Some(3));
}

/// Guards against a process that uses what the one before it on the VM has used.
#[test]
fn a_daemon_has_no_share_until_it_has_been_a_member_for_longer_than_a_window() {
    let (all, start) = (vms(3), Instant::now());
    let mut sharers = Sharers::default();
    assert_eq!(sharers.count(all.iter(), RECENT, WINDOW, start), None);
    sharers.record_join(start);
    let mut count = |after| sharers.count(all.iter(), RECENT, WINDOW, start + after);
    assert_eq!(count(WINDOW), None);
    assert_eq!(count(2 * WINDOW), Some(3));
    sharers.record_join(start + 2 * WINDOW);
    assert_eq!(sharers.count(all.iter(), RECENT, WINDOW, start + 3 * WINDOW), None);
}

/// Guards against a daemon that was without the store while another one joined, used its share
/// and was removed.
#[test]
fn a_daemon_that_missed_a_window_has_no_share_at_first() {
    let (all, start) = (vms(3), Instant::now());
    let mut sharers = settled(start);
    sharers.record_confirmation(start, WINDOW);
    sharers.record_confirmation(start + WINDOW / 2, WINDOW);
    let now = start + WINDOW / 2;
    assert_eq!(sharers.count(all.iter(), RECENT, WINDOW, now), Some(3));
    let back = start + 2 * WINDOW;
    sharers.record_confirmation(back, WINDOW);
    assert_eq!(sharers.count(all.iter(), RECENT, WINDOW, back), None);
    assert_eq!(sharers.count(all.iter(), RECENT, WINDOW, back + 2 * WINDOW), Some(3));
}
