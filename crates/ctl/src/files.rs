//! Reading a team's directory.

use std::fmt::{self, Display, Formatter};
use std::fs;
use std::path::Path;

use chestnut_base::TeamName;
use chestnut_config::declarations::TeamDeclarations;
use chestnut_config::{Problems, Settings, TeamFiles};

/// The endings of declarations' file names.
const ENDINGS: &[&str] = &["jsonc", "json"];

/// The name of a settings file, by which it is told from declarations.
const SETTINGS: &str = "settings";

/// Files that can't be used.
#[derive(Debug)]
pub enum FileError {
    /// A file or directory can't be read.
    Read(String, std::io::Error),
    /// A directory holds no declarations.
    Empty(String),
    /// The texts have problems.
    Problems(Problems),
}

impl Display for FileError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(path, error) => {
                write!(f, "{path} can't be read ({error}); name an existing one")
            }
            Self::Empty(path) => write!(
                f,
                "{path} holds no declarations; add a file that ends in .jsonc or .json"
            ),
            Self::Problems(problems) => problems.fmt(f),
        }
    }
}

impl std::error::Error for FileError {}

/// Reads all declarations of a directory, by their names.
pub fn read(dir: &str) -> Result<TeamFiles, FileError> {
    let fail = |path: &Path| {
        let path = path.display().to_string();
        move |error| FileError::Read(path, error)
    };
    let mut text = TeamFiles::default();
    for entry in fs::read_dir(dir).map_err(fail(Path::new(dir)))? {
        let path = entry.map_err(fail(Path::new(dir)))?.path();
        let ending = path.extension().and_then(|it| it.to_str()).unwrap_or_default();
        let Some(name) = path.file_name().and_then(|it| it.to_str()) else { continue };
        if ENDINGS.contains(&ending) && path.is_file() {
            let content = fs::read_to_string(&path).map_err(fail(&path))?;
            text.files.insert(name.to_owned(), content);
        }
    }
    if text.files.is_empty() {
        return Err(FileError::Empty(dir.into()));
    }
    text.files.sort_keys();
    Ok(text)
}

/// Checks settings or declarations by themselves; returns what was checked.
///
/// References to other teams' names are checked by a daemon, which knows them.
pub fn check(path: &str) -> Result<String, FileError> {
    let file = Path::new(path);
    if file.is_dir() {
        let text = read(path)?;
        check_text(path, &text)?;
        let count = text.files.len();
        let files = if count == 1 { "file" } else { "files" };
        return Ok(format!("{count} {files} of declarations"));
    }
    let content = fs::read_to_string(file)
        .map_err(|error| FileError::Read(path.to_owned(), error))?;
    let stem = file.file_stem().and_then(|it| it.to_str()).unwrap_or_default();
    if stem.contains(SETTINGS) {
        Settings::parse(path, &content).map_err(FileError::Problems)?;
        return Ok("settings".into());
    }
    let text = TeamFiles { files: [(path.to_owned(), content)].into_iter().collect() };
    check_text("", &text)?;
    Ok("a file of declarations".into())
}

/// Checks a team's declarations by themselves.
pub fn check_text(dir: &str, text: &TeamFiles) -> Result<(), FileError> {
    let mut problems = Problems::default();
    let team = TeamName::try_from("this").expect("the name is valid");
    TeamDeclarations::parse(&team, text, &mut problems);
    // The author knows the files by their paths, not by the team.
    for problem in &mut problems.0 {
        let name = problem.location.file.trim_start_matches("this/").to_owned();
        let path = if dir.is_empty() { name } else { format!("{dir}/{name}") };
        problem.location.file = path.into();
    }
    problems.into_result(()).map_err(FileError::Problems)
}
