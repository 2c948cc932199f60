//! Reads the files under `examples/`.

use std::fs;
use std::path::Path;

use chestnut_base::{PoolName, Revision, TeamName};
use chestnut_config::merge::MergedDeclarations;
use chestnut_config::{Catalog, Settings, TeamFiles};
use indexmap::IndexMap;

const EXAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");

fn teams() -> IndexMap<TeamName, TeamFiles> {
    let mut teams = IndexMap::new();
    for dir in fs::read_dir(Path::new(EXAMPLES).join("declarations")).unwrap() {
        let dir = dir.unwrap();
        let name = dir.file_name().into_string().unwrap();
        let mut files = TeamFiles::default();
        for file in fs::read_dir(dir.path()).unwrap() {
            let file = file.unwrap();
            let name = file.file_name().into_string().unwrap();
            files.files.insert(name, fs::read_to_string(file.path()).unwrap());
        }
        teams.insert(TeamName::try_from(name).unwrap(), files);
    }
    teams
}

#[test]
fn example_settings_are_valid() {
    let text = fs::read_to_string(Path::new(EXAMPLES).join("settings.jsonc")).unwrap();
    let settings = Settings::parse("settings.jsonc", &text).unwrap();
    assert_eq!(settings.vm.as_str(), "entry-1");
    assert_eq!(settings.operators.len(), 2);
    assert_eq!(settings.times, Default::default());
    assert_eq!(settings.limits, Default::default());
}

#[test]
fn example_declarations_are_valid_together() {
    let catalog = Catalog::merge(Revision(1), &teams()).unwrap();
    assert_eq!(catalog.models.len(), 3);
    assert_eq!(catalog.routes.len(), 5);
    let kind = &catalog.kinds[catalog.routes["proof"].default_kind.as_ref().unwrap()];
    assert!(kind.idempotent);
}

#[test]
fn example_declarations_fit_on_one_runner() {
    let merged = MergedDeclarations::parse(Revision(1), &teams()).unwrap();
    let pool = PoolName::try_from("drafting").unwrap();
    let check_with = |count| {
        merged.check_capacity(&[(pool.clone(), count)].into_iter().collect(), None)
    };
    assert!(check_with(1).is_ok());
    let problems = check_with(0).unwrap_err();
    assert!(problems.to_string().contains("no room for drafter"), "{problems}");
}
