//! Racing operators, lost acknowledgements, killed operators and daemons, frozen
//! daemons: random interleavings of appliers against a table in memory.

mod world;

use std::time::Duration;

use chestnut_config::rows::Files;
use chestnut_config::{Catalog, RefusalReason, Verdict};
use indexmap::{IndexMap, IndexSet};
use proptest::prelude::*;

use world::{Act, CHANGES, Daemon, LATER, STALE, World, act};

/// A change is in a catalog if its deadline is the one of its kind there.
fn is_in(catalog: &Catalog, change: usize) -> bool {
    let deadline = Duration::from_millis(change as u64 + 1);
    catalog.kinds.values().any(|kind| kind.deadline == deadline)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// The caller of these promises is an operator who was told an answer.
    ///
    /// Whatever is lost, killed or frozen in whatever order: an accepted change
    /// is in force everywhere in the end and stays, a refused one never is, and
    /// the same change never gets two answers.
    #[test]
    fn every_change_has_one_lasting_answer(acts in prop::collection::vec(act(), 1..160)) {
        let mut world = World::new();
        for act in &acts {
            world.act(act);
        }
        world.settle();
        prop_assert_eq!(world.answers.len(), world.changes.len());
        let mut files = Files::default();
        world.table.changed(0).into_iter().for_each(|row| files.update(row));
        let catalog = Catalog::merge(files.revision(), &files.by_team()).unwrap();
        // Of the accepted changes of a file the last one's text is in force.
        let mut last = IndexMap::new();
        for (change, verdict) in &world.answers {
            if let Verdict::Accepted { revision, .. } = verdict {
                let (file, _) = world.changes[*change].edits.first().unwrap();
                let path = (world.changes[*change].team.clone(), file.clone());
                let newest = last.entry(path).or_insert((*revision, *change));
                *newest = (*newest).max((*revision, *change));
            }
        }
        for change in (0..CHANGES).filter(|change| *change != LATER) {
            let wins = last.values().any(|(_, last)| *last == change);
            prop_assert_eq!(wins, is_in(&catalog, change), "change {}", change);
        }
        for daemon in &world.daemons {
            prop_assert_eq!(daemon.force, files.revision());
            prop_assert_eq!(daemon.replica.files().by_team(), files.by_team());
        }
    }

    /// Disjoint changes all land; of conflicting ones exactly one does, and the
    /// others are refused with its author's name.
    #[test]
    fn disjoint_changes_land_and_conflicts_name_the_winner(
        acts in prop::collection::vec(act(), 1..160),
    ) {
        let mut world = World::new();
        world.changes.truncate(LATER);
        for act in &acts {
            if !matches!(act, Act::Send { change } if *change >= LATER) {
                world.act(act);
            }
        }
        world.settle();
        for change in [5, 6, 7] {
            let landed = matches!(world.answers[&change], Verdict::Accepted { .. });
            prop_assert!(landed, "{:?}", world.answers[&change]);
        }
        for group in [&[0, 1, 2][..], &[3, 4]] {
            let winners: Vec<_> = group
                .iter()
                .filter(|change| matches!(world.answers[*change], Verdict::Accepted { .. }))
                .collect();
            prop_assert_eq!(winners.len(), 1);
            let winner = format!("author-c{}", winners[0]);
            for change in group.iter().filter(|change| *change != winners[0]) {
                let Verdict::Refused { reason, .. } = &world.answers[change] else { continue };
                let (RefusalReason::Conflict { others, .. } | RefusalReason::Invalid { others, .. }) = reason
                else {
                    panic!("{reason:?}");
                };
                let named: IndexSet<&str> =
                    others.iter().map(|other| other.author.as_str()).collect();
                prop_assert!(named.contains(winner.as_str()), "{:?}", reason);
            }
        }
    }

    /// A daemon that calls itself fresh misses no revision that was accepted
    /// longer ago than the bound, as long as only the table confirms it.
    #[test]
    fn fresh_daemons_miss_nothing_old(acts in prop::collection::vec(act(), 1..160)) {
        let mut world = World::new();
        for act in acts.iter().filter(|act| !matches!(act, Act::Ask { .. })) {
            world.act(act);
            for daemon in world.daemons.iter().filter(|daemon| !daemon.frozen) {
                if !daemon.replica.is_fresh(world.now, STALE) {
                    continue;
                }
                let due = world.accepted.iter().filter(|(_, at)| *at + STALE < world.now);
                let due = due.map(|(revision, _)| *revision).max().unwrap_or_default();
                prop_assert!(daemon.force >= due);
            }
        }
    }

    /// A daemon that has just started or was frozen too long is not fresh until
    /// the table or a fresh peer confirms it.
    #[test]
    fn peers_that_are_not_fresh_confirm_nobody(
        acts in prop::collection::vec(act(), 1..160),
    ) {
        let mut world = World::new();
        world.table.down = true;
        let no_table = |act: &&Act| !matches!(act, Act::Flip);
        for act in acts.iter().filter(no_table) {
            world.act(act);
            let fresh = |daemon: &Daemon| daemon.replica.is_fresh(world.now, STALE);
            prop_assert!(!world.daemons.iter().any(fresh));
        }
    }
}
