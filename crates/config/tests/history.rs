//! Rollbacks and plans.

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

/// The texts of a team after some edits.
fn text() -> impl Strategy<Value = TeamFiles> {
    let file = prop::sample::select(vec!["a.jsonc", "b.jsonc", "c.jsonc"]);
    let content = prop::sample::select(vec!["{}", "{ }", "// x\n{}"]);
    prop::collection::vec((file, content), 0..3).prop_map(|files| TeamFiles {
        files: files.into_iter().map(|(file, text)| (file.into(), text.into())).collect(),
    })
}

fn sorted(mut text: TeamFiles) -> TeamFiles {
    text.files.sort_keys();
    text
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(500))]

    #[test]
    fn edits_lead_from_one_text_to_the_other(old in text(), new in text()) {
        let mut found = old.clone();
        apply_edits(&mut found, &diff_files(&old, &new));
        prop_assert_eq!(sorted(found), sorted(new));
    }

    /// Two teams change their files by turns; each team's text of every earlier
    /// revision comes back from the newest one and the entries since.
    #[test]
    fn every_earlier_text_comes_back(
        texts in prop::collection::vec((any::<bool>(), text()), 1..12),
    ) {
        let teams = [team("a"), team("b")];
        let mut files = Files::default();
        let mut entries: Vec<HistoryEntry> = Vec::new();
        let mut known = vec![[TeamFiles::default(), TeamFiles::default()]];
        for (index, (second, text)) in texts.iter().enumerate() {
            let by = &teams[usize::from(*second)];
            let edits = diff_files(&files.of_team(by), text);
            let base = files.revision();
            if !edits.is_empty() {
                let change = Change {
                    id: format!("c-{index}"),
                    team: by.clone(),
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
                let found = Snapshot { head, files: files.clone(), ..Snapshot::default() };
                let Step::Commit(commit) = applier.handle(Event::Read(Box::new(found))) else {
                    return Err(TestCaseError::fail("the change is not committed"));
                };
                for (key, value) in commit.writes {
                    if key.starts_with(rows::FILE_PREFIX) {
                        files.update(serde_json::from_value::<FileRow>(value).unwrap());
                    } else if key.starts_with(rows::REVISION_PREFIX) {
                        entries.insert(0, serde_json::from_value(value).unwrap());
                    }
                }
                known.push([files.of_team(&teams[0]), files.of_team(&teams[1])]);
            }
        }
        for (revision, texts) in known.iter().enumerate() {
            for (by, text) in teams.iter().zip(texts) {
                let now = files.of_team(by);
                let found = roll_back(by, now, Revision(revision as u64), &entries);
                prop_assert_eq!(sorted(found), sorted(text.clone()));
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

fn model(name: &str, version: &str, cold: u64, replicas: u32) -> String {
    format!(
        r#""{name}": {{ "pool": "p", "version": "{version}", "bytes": 10, "cold_ms": {cold},
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
fn other_times_and_fewer_replicas_load_nothing() {
    let old = catalog(&model("m", "v1", 5, 3));
    let plan = Plan::diff(&old, &catalog(&model("m", "v1", 9, 1)));
    let moves: Vec<_> = plan.moves.iter().map(|it| it.replicas).collect();
    assert_eq!(moves, [-2]);
    assert_eq!(Plan::diff(&old, &old), Plan::default());
}

#[test]
fn a_revision_that_does_not_exist_is_no_base() {
    let change = Change {
        id: "c".into(),
        team: team("a"),
        author: "x".into(),
        note: String::new(),
        base: Revision(7),
        edits: [("x.jsonc".to_owned(), Some("{}".to_owned()))].into_iter().collect(),
    };
    let found = change.evaluate(&Files::default(), &IndexMap::new(), Revision(1));
    assert_eq!(found, Err(RefusalReason::UnknownBase { base: Revision(7) }));
}
