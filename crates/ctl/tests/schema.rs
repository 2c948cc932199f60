//! Checks that the fields of subjects match the fields of declarations, and that the
//! example files pass `chestnutctl check`.

use std::fs;

use chestnut_base::{Revision, TeamName};
use chestnut_config::{Catalog, TeamFiles};
use chestnut_ctl::files;
use chestnut_ctl::schema::Subject;
use indexmap::{IndexMap, IndexSet};
use serde_json::Value;

const EXAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");

fn catalog() -> Value {
    let mut teams: IndexMap<TeamName, TeamFiles> = IndexMap::new();
    for dir in fs::read_dir(format!("{EXAMPLES}/declarations")).unwrap() {
        let dir = dir.unwrap();
        let team = TeamName::try_from(dir.file_name().to_str().unwrap()).unwrap();
        teams.insert(team, files::read(dir.path().to_str().unwrap()).unwrap());
    }
    serde_json::to_value(Catalog::merge(Revision(1), &teams).unwrap()).unwrap()
}

#[test]
fn subjects_have_the_fields_of_declarations() {
    let catalog = catalog();
    for name in ["pools", "models", "adapters", "services", "kinds", "callers", "routes"]
    {
        let subject = Subject::find(name).unwrap();
        let shown: IndexSet<&str> =
            subject.fields.iter().map(|field| field.name).collect();
        let first = catalog[name].as_object().unwrap().values().next().unwrap();
        let fields = first.as_object().unwrap().keys().map(String::as_str);
        let declared: IndexSet<&str> = fields.chain(["name"]).collect();
        assert_eq!(shown, declared, "{name}");
    }
}

#[test]
fn example_files_pass_the_check() {
    for path in ["settings.jsonc", "declarations/letters", "declarations/seats"] {
        files::check(&format!("{EXAMPLES}/{path}")).unwrap();
    }
    let error = files::check(&format!("{EXAMPLES}/missing")).unwrap_err();
    assert!(error.to_string().contains("name an existing one"), "{error}");
}
