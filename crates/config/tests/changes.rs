//! Random interleavings of concurrent changes, with lost responses, killed operators
//! and daemons, suspended daemons and outages of the table.

mod simulation;

use std::time::Duration;

use chestnut_config::rows::Files;
use chestnut_config::{Catalog, RefusalReason, Verdict};
use indexmap::{IndexMap, IndexSet};
use proptest::prelude::*;

use simulation::{
    Action, CHANGES, Daemon, FIRST_REBASED, MAX_STALENESS, Simulation, action,
};

/// Whether a change is in force; every change declares a kind with its own deadline.
fn is_in_force(catalog: &Catalog, change: usize) -> bool {
    let deadline = Duration::from_millis(change as u64 + 1);
    catalog.kinds.values().any(|kind| kind.deadline == deadline)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// An accepted change is in force at all daemons in the end, a refused one never
    /// is, and no change gets two different verdicts, whatever fails in whatever order.
    #[test]
    fn every_change_has_one_final_verdict(
        actions in prop::collection::vec(action(), 1..160),
    ) {
        let mut simulation = Simulation::new();
        for action in &actions {
            simulation.apply(action);
        }
        simulation.run_until_idle();
        prop_assert_eq!(simulation.verdicts.len(), simulation.changes.len());
        let mut files = Files::default();
        simulation.table.changed(0).into_iter().for_each(|row| files.update(row));
        let catalog = Catalog::merge(files.revision(), &files.by_team()).unwrap();
        // The last accepted change of each file is in force.
        let mut last = IndexMap::new();
        for (change, verdict) in &simulation.verdicts {
            if let Verdict::Accepted { revision, .. } = verdict {
                let (file, _) = simulation.changes[*change].edits.first().unwrap();
                let path = (simulation.changes[*change].team.clone(), file.clone());
                let newest = last.entry(path).or_insert((*revision, *change));
                *newest = (*newest).max((*revision, *change));
            }
        }
        for change in (0..CHANGES).filter(|change| *change != FIRST_REBASED) {
            let is_last = last.values().any(|(_, last)| *last == change);
            prop_assert_eq!(is_last, is_in_force(&catalog, change), "change {}", change);
        }
        for daemon in &simulation.daemons {
            prop_assert_eq!(daemon.revision, files.revision());
            prop_assert_eq!(daemon.replica.files().by_team(), files.by_team());
        }
    }

    /// Disjoint changes are all accepted; of conflicting ones exactly one is, and the
    /// refusals of the others name its author.
    #[test]
    fn disjoint_changes_are_accepted_and_conflicts_name_the_author(
        actions in prop::collection::vec(action(), 1..160),
    ) {
        let mut simulation = Simulation::new();
        simulation.changes.truncate(FIRST_REBASED);
        for action in &actions {
            if !matches!(action, Action::Send { change } if *change >= FIRST_REBASED) {
                simulation.apply(action);
            }
        }
        simulation.run_until_idle();
        for change in [5, 6, 7] {
            let accepted =
                matches!(simulation.verdicts[&change], Verdict::Accepted { .. });
            prop_assert!(accepted, "{:?}", simulation.verdicts[&change]);
        }
        for group in [&[0, 1, 2][..], &[3, 4]] {
            let accepted: Vec<_> = group
                .iter()
                .filter(|change| {
                    matches!(simulation.verdicts[*change], Verdict::Accepted { .. })
                })
                .collect();
            prop_assert_eq!(accepted.len(), 1);
            let author = format!("author-c{}", accepted[0]);
            for change in group.iter().filter(|change| *change != accepted[0]) {
                let Verdict::Refused { reason, .. } = &simulation.verdicts[change] else {
                    continue;
                };
                let (RefusalReason::Conflict { others, .. }
                | RefusalReason::Invalid { others, .. }) = reason
                else {
                    panic!("{reason:?}");
                };
                let named: IndexSet<&str> =
                    others.iter().map(|other| other.author.as_str()).collect();
                prop_assert!(named.contains(author.as_str()), "{:?}", reason);
            }
        }
    }

    /// A fresh daemon has every revision that was accepted before the staleness bound,
    /// if only the table confirms replicas.
    #[test]
    fn fresh_daemons_have_all_older_revisions(
        actions in prop::collection::vec(action(), 1..160),
    ) {
        let mut simulation = Simulation::new();
        for action in
            actions.iter().filter(|action| !matches!(action, Action::QueryPeer { .. }))
        {
            simulation.apply(action);
            for daemon in simulation.daemons.iter().filter(|daemon| !daemon.suspended) {
                if !daemon.replica.is_fresh(simulation.now, MAX_STALENESS) {
                    continue;
                }
                let due = simulation
                    .accepted
                    .iter()
                    .filter(|(_, at)| *at + MAX_STALENESS < simulation.now);
                let due = due.map(|(revision, _)| *revision).max().unwrap_or_default();
                prop_assert!(daemon.revision >= due);
            }
        }
    }

    /// Peers that are not fresh don't confirm replicas: without the table, newly
    /// started daemons never become fresh.
    #[test]
    fn stale_peers_confirm_no_replica(
        actions in prop::collection::vec(action(), 1..160),
    ) {
        let mut simulation = Simulation::new();
        simulation.table.unavailable = true;
        let keeps_table_unavailable =
            |action: &&Action| !matches!(action, Action::ToggleTable);
        for action in actions.iter().filter(keeps_table_unavailable) {
            simulation.apply(action);
            let fresh = |daemon: &Daemon| {
                daemon.replica.is_fresh(simulation.now, MAX_STALENESS)
            };
            prop_assert!(!simulation.daemons.iter().any(fresh));
        }
    }
}
