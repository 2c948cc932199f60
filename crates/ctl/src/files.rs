//! Reads and checks files of settings and declarations.

use std::fmt::{self, Display, Formatter};
use std::fs;
use std::path::Path;

use chestnut_base::TeamName;
use chestnut_config::declarations::TeamDeclarations;
use chestnut_config::{Problems, Settings, TeamFiles};

/// The file name extensions of declarations.
const EXTENSIONS: &[&str] = &["jsonc", "json"];

/// The part of a file name that distinguishes settings from declarations.
const SETTINGS_NAME: &str = "settings";

/// Why files can't be used.
#[derive(Debug)]
pub enum FileError {
    /// A file or directory at this path can't be read.
    Read(String, std::io::Error),
    /// The directory at this path holds no declarations.
    Empty(String),
    /// The settings or declarations have problems.
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

/// Reads all files of declarations in a directory, sorted by name.
pub fn read(dir: &str) -> Result<TeamFiles, FileError> {
    let read_error = |path: &Path| {
        let path = path.display().to_string();
        move |error| FileError::Read(path, error)
    };
    let mut files = TeamFiles::default();
    for entry in fs::read_dir(dir).map_err(read_error(Path::new(dir)))? {
        let path = entry.map_err(read_error(Path::new(dir)))?.path();
        let extension = path.extension().and_then(|it| it.to_str()).unwrap_or_default();
        let Some(name) = path.file_name().and_then(|it| it.to_str()) else { continue };
        if EXTENSIONS.contains(&extension) && path.is_file() {
            let content = fs::read_to_string(&path).map_err(read_error(&path))?;
            files.files.insert(name.to_owned(), content);
        }
    }
    if files.files.is_empty() {
        return Err(FileError::Empty(dir.into()));
    }
    files.files.sort_keys();
    Ok(files)
}

/// Checks settings or declarations and returns a description of them.
///
/// References to declarations of other teams are not checked; only daemons have those.
pub fn check(path: &str) -> Result<String, FileError> {
    let file = Path::new(path);
    if file.is_dir() {
        let files = read(path)?;
        check_files(path, &files)?;
        let count = files.files.len();
        let files = if count == 1 { "file" } else { "files" };
        return Ok(format!("{count} {files} of declarations"));
    }
    let content = fs::read_to_string(file)
        .map_err(|error| FileError::Read(path.to_owned(), error))?;
    let stem = file.file_stem().and_then(|it| it.to_str()).unwrap_or_default();
    if stem.contains(SETTINGS_NAME) {
        Settings::parse(path, &content).map_err(FileError::Problems)?;
        return Ok("settings".into());
    }
    let files = TeamFiles { files: [(path.to_owned(), content)].into_iter().collect() };
    check_files("", &files)?;
    Ok("a file of declarations".into())
}

/// Checks a team's declarations without those of other teams.
///
/// Problems name the files by their paths under `dir`.
pub fn check_files(dir: &str, files: &TeamFiles) -> Result<(), FileError> {
    let mut problems = Problems::default();
    let team = TeamName::try_from("this").expect("the name is valid");
    TeamDeclarations::parse(&team, files, &mut problems);
    // Replaces the team, which is a placeholder, by the path of the directory.
    for problem in &mut problems.0 {
        let name = problem.location.file.trim_start_matches("this/").to_owned();
        let path = if dir.is_empty() { name } else { format!("{dir}/{name}") };
        problem.location.file = path.into();
    }
    problems.into_result(()).map_err(FileError::Problems)
}
