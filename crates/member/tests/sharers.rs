//! Which part of a bound on the whole cluster a daemon may use.

use std::time::{Duration, Instant};

use chestnut_base::{MemberId, VmName};
use chestnut_member::{Part, ShareRow, Sharers};

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
    sharers.record_join(true, start - 2 * WINDOW);
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
    let mut part = |after| sharers.part(all[..2].iter(), RECENT, WINDOW, start + after);
    assert_eq!(part(Duration::ZERO), Part::Share(6));
    assert_eq!(part(WINDOW), Part::Share(6));
    assert_eq!(part(2 * WINDOW), Part::Share(2));
}

/// Guards against counting a VM twice whose daemon was removed and has joined again.
#[test]
fn a_daemon_that_has_joined_again_is_counted_once() {
    let (all, start) = (vms(3), Instant::now());
    let mut sharers = settled(start);
    sharers.record_removal(all[0].clone(), start);
    assert_eq!(sharers.part(all.iter(), RECENT, WINDOW, start), Part::Share(3));
}

/// Guards against a daemon without the store that uses the share that it had, while those that
/// have joined since use theirs.
#[test]
fn a_daemon_whose_list_is_old_has_no_share() {
    let (all, start) = (vms(3), Instant::now());
    let mut sharers = settled(start);
    let mut part = |age| sharers.part(all.iter(), age, WINDOW, start);
    assert_eq!(part(None), Part::None);
    assert_eq!(part(Some(WINDOW / 2)), Part::None);
    assert_eq!(part(Some(WINDOW / 4)), Part::Share(3));
}

/// Guards against a process that uses what the one before it on the VM has used, and against
/// one that can't retry anything at first.
#[test]
fn a_daemon_has_the_reserve_at_first_and_a_share_after_more_than_a_window() {
    let (all, start) = (vms(3), Instant::now());
    let mut sharers = Sharers::default();
    assert_eq!(sharers.part(all.iter(), RECENT, WINDOW, start), Part::None);
    sharers.record_join(sharers.offers_reserve(&all[0]), start);
    let mut part = |after| sharers.part(all.iter(), RECENT, WINDOW, start + after);
    assert_eq!(part(WINDOW / 4), Part::Reserve(3));
    assert_eq!(part(WINDOW), Part::None);
    assert_eq!(part(2 * WINDOW), Part::Share(3));
    sharers.record_join(false, start + 2 * WINDOW);
    let rejoined = sharers.part(all.iter(), RECENT, WINDOW, start + 2 * WINDOW);
    assert_eq!(rejoined, Part::None);
}

/// Guards against a daemon that uses its share between the commit of its new row and the
/// response to that.
#[test]
fn a_removed_daemon_has_no_share_before_it_knows_that_it_has_joined_again() {
    let (all, start) = (vms(3), Instant::now());
    let mut sharers = settled(start);
    sharers.record_own_removal();
    assert_eq!(sharers.part(all.iter(), RECENT, WINDOW, start), Part::None);
}

/// Guards against a reserve for each process of a VM that restarts in a loop.
#[test]
fn the_reserve_is_not_offered_again_before_a_process_has_had_a_share() {
    let (all, mut sharers) = (vms(2), Sharers::default());
    let mut offers_after = |settled| {
        let row = ShareRow { member: MemberId(1), settled };
        sharers.record_row(all[0].clone(), Some((row, 7)));
        sharers.offers_reserve(&all[0])
    };
    assert!(!offers_after(false));
    assert!(offers_after(true));
}

/// Guards against VMs that are down and whose reserve the others divide among them.
#[test]
fn the_reserve_is_divided_by_all_vms_that_had_a_process() {
    let (all, start) = (vms(6), Instant::now());
    let mut sharers = Sharers::default();
    for vm in &all {
        let row = ShareRow { member: MemberId(1), settled: true };
        sharers.record_row(vm.clone(), Some((row, 7)));
    }
    sharers.record_join(true, start);
    assert_eq!(sharers.part(all[..1].iter(), RECENT, WINDOW, start), Part::Reserve(6));
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
    assert_eq!(sharers.part(all.iter(), RECENT, WINDOW, now), Part::Share(3));
    let back = start + 2 * WINDOW;
    sharers.record_confirmation(back, WINDOW);
    assert_eq!(sharers.part(all.iter(), RECENT, WINDOW, back), Part::None);
    let later = back + 2 * WINDOW;
    assert_eq!(sharers.part(all.iter(), RECENT, WINDOW, later), Part::Share(3));
}
