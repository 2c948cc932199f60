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

/// Guards against shares that grow while what removed daemons have used still counts.
#[test]
fn removed_daemons_are_counted_for_longer_than_a_window() {
    let (all, start) = (vms(6), Instant::now());
    let mut sharers = Sharers::default();
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
    let mut sharers = Sharers::default();
    sharers.record_removal(all[0].clone(), start);
    assert_eq!(sharers.count(all.iter(), RECENT, WINDOW, start), Some(3));
}

/// Guards against a daemon without the store that uses the share that it had, while those that
/// have joined since use theirs.
#[test]
fn a_daemon_whose_list_is_old_has_no_share() {
    let (all, start) = (vms(3), Instant::now());
    let mut sharers = Sharers::default();
    assert_eq!(sharers.count(all.iter(), None, WINDOW, start), None);
    assert_eq!(sharers.count(all.iter(), Some(WINDOW / 2), WINDOW, start), None);
    assert_eq!(sharers.count(all.iter(), Some(WINDOW / 4), WINDOW, start), Some(3));
}
