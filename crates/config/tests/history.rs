//! Tests of rollbacks, plans and the check of a change's base revision.

use chestnut_base::{Revision, TeamName};
use chestnut_config::apply::{Event, Snapshot, Step};
use chestnut_config::change::{apply_edits, diff_files};
use chestnut_config::history::roll_back;
use chestnut_config::plan::{DifferenceKind, Move};
use chestnut_config::rows::{self, FileRow, Files, HistoryEntry};
use chestnut_config::{Applier, Catalog, Change, Plan, RefusalReason, TeamFiles};
use indexmap::IndexMap;
use proptest::prelude::*;

fn team(name: &str) -> TeamName {
    TeamName::try_from(name).unwrap()
}

/// Files of a team, with a few names and contents so that they often repeat.
fn team_files() -> impl Strategy<Value = TeamFiles> {
    let file = prop::sample::select(vec!["a.jsonc", "b.jsonc", "c.jsonc"]);
    let content = prop::sample::select(vec!["{}", "{ }", "// x\n{}"]);
    prop::collection::vec((file, content), 0..3).prop_map(|files| TeamFiles {
        files: files.into_iter().map(|(file, text)| (file.into(), text.into())).collect(),
    })
}

fn sorted(mut files: TeamFiles) -> TeamFiles {
    files.files.sort_keys();
    files
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(500))]

    #[test]
    fn diff_and_apply_are_inverse(old in team_files(), new in team_files()) {
        let mut edited = old.clone();
        apply_edits(&mut edited, &diff_files(&old, &new));
        prop_assert_eq!(sorted(edited), sorted(new));
    }

    /// Two teams change their files in random order; the files of every earlier
    /// revision are restored from the newest ones and the history.
    #[test]
    fn every_earlier_revision_is_restored(
        versions in prop::collection::vec((any::<bool>(), team_files()), 1..12),
    ) {
        let teams = [team("a"), team("b")];
        let mut files = Files::default();
        let mut entries: Vec<HistoryEntry> = Vec::new();
        let mut expected = vec![[TeamFiles::default(), TeamFiles::default()]];
        for (index, (is_second_team, new)) in versions.iter().enumerate() {
            let team = &teams[usize::from(*is_second_team)];
            let edits = diff_files(&files.of_team(team), new);
            let base = files.revision();
            if !edits.is_empty() {
                let change = Change {
                    id: format!("c-{index}"),
                    team: team.clone(),
                    author: "x".into(),
                    note: String::new(),
                    base,
                    edits,
                };
                let mut applier = Applier::new(change, 0);
                applier.start();
                let head = (base.0 > 0).then(|| {
                    let change = String::new();
                    (rows::Head { revision: base, change }, base.0)
                });
                let snapshot =
                    Snapshot { head, files: files.clone(), ..Snapshot::default() };
                let Step::Commit(transaction) =
                    applier.handle(Event::Read(Box::new(snapshot)))
                else {
                    return Err(TestCaseError::fail("the change was not committed"));
                };
                for (key, value) in transaction.writes {
                    if key.starts_with(rows::FILE_PREFIX) {
                        files.update(serde_json::from_value::<FileRow>(value).unwrap());
                    } else if key.starts_with(rows::REVISION_PREFIX) {
                        entries.insert(0, serde_json::from_value(value).unwrap());
                    }
                }
                expected.push([files.of_team(&teams[0]), files.of_team(&teams[1])]);
            }
        }
        for (revision, expected) in expected.iter().enumerate() {
            for (team, expected) in teams.iter().zip(expected) {
                let current = files.of_team(team);
                let restored =
                    roll_back(team, current, Revision(revision as u64), &entries);
                prop_assert_eq!(sorted(restored), sorted(expected.clone()));
            }
        }
    }
}

const POOL: &str = r#""pools": { "p": { "memory": 100, "accelerators": 1, "streams": 1,
    "tokens": 1, "step_ms": 10, "fenced": true, "parallel_loads": 1, "load_rate": 1 } }"#;

fn catalog(models: &str) -> Catalog {
    let text = format!("{{ {POOL}, \"models\": {{ {models} }} }}");
    let text = TeamFiles { files: [("x.jsonc".to_owned(), text)].into_iter().collect() };
    let teams: IndexMap<_, _> = [(team("a"), text)].into_iter().collect();
    Catalog::merge(Revision(1), &teams).unwrap()
}

fn model(name: &str, version: &str, cold_ms: u64, replicas: u32) -> String {
    format!(
        r#""{name}": {{ "pool": "p", "version": "{version}", "bytes": 10, "cold_ms": {cold_ms},
           "replicas": {replicas} }}"#
    )
}

#[test]
fn a_new_version_is_loaded_and_the_old_one_unloaded() {
    let old = catalog(&[model("m", "v1", 5, 2), model("n", "v1", 5, 1)].join(","));
    let new = catalog(&[model("m", "v2", 5, 2), model("o", "v1", 5, 3)].join(","));
    let plan = Plan::diff(&old, &new);
    let changes: Vec<_> =
        plan.changes.iter().map(|it| (it.name.as_str(), it.kind)).collect();
    assert_eq!(
        changes,
        [
            ("m", DifferenceKind::Change),
            ("n", DifferenceKind::Remove),
            ("o", DifferenceKind::Add)
        ]
    );
    assert_eq!(plan.changes[0].fields.keys().collect::<Vec<_>>(), ["version"]);
    let moves: Vec<_> = plan
        .moves
        .iter()
        .map(|Move { model, replicas, .. }| (&**model, *replicas))
        .collect();
    assert_eq!(moves, [("m@v1", -2), ("n@v1", -1), ("m@v2", 2), ("o@v1", 3)]);
}

#[test]
fn a_changed_load_time_or_fewer_replicas_cause_no_load() {
    let old = catalog(&model("m", "v1", 5, 3));
    let plan = Plan::diff(&old, &catalog(&model("m", "v1", 9, 1)));
    let moves: Vec<_> = plan.moves.iter().map(|it| it.replicas).collect();
    assert_eq!(moves, [-2]);
    assert_eq!(Plan::diff(&old, &old), Plan::default());
}

#[test]
fn a_base_that_does_not_exist_is_refused() {
    let change = Change {
        id: "c".into(),
        team: team("a"),
        author: "x".into(),
        note: String::new(),
        base: Revision(7),
        edits: [("x.jsonc".to_owned(), Some("{}".to_owned()))].into_iter().collect(),
    };
    let result = change.evaluate(&Files::default(), &IndexMap::new(), Revision(1));
    assert_eq!(result, Err(RefusalReason::UnknownBase { base: Revision(7) }));
}
