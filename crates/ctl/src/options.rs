//! The command-line options; the remaining words are one command.

use std::path::PathBuf;
use std::time::Duration;

use bpaf::Bpaf;

/// The output format.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// Text and aligned tables.
    Table,
    /// One line of JSON.
    Json,
}

impl std::str::FromStr for Output {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            _ => Err(format!("{text:?} is not an output format; write table or json")),
        }
    }
}

/// The commands and exit codes in the output of `--help`.
///
/// bpaf keeps lines that start with four spaces as they are, and it omits everything
/// after an empty line.
const FOOTER: &str = "The words after the options are one command:
    check FILE|DIR     check settings or declarations without a daemon
    plan DIR           show what applying a directory would do
    apply DIR          put a directory's files in force
    show WHAT [where CONDITION] [sort by FIELD [desc]] [limit N]
    explain request model = NAME [kind = NAME] [caller = NAME]
    history [limit N]
    rollback to N      put the team's files of revision N in force again
    change ID          show the verdict on an earlier change
    drain VM           let a daemon finish its requests and stop
    show gates|gate-tables|gate-members|gate-claims|gate-servers|gate-runners|gate-queues
                       show the state of all named daemons on the users' platform
    trace ID [FILE...] show a request's path from their logs (default: standard input)
    exit codes: 0 done, 1 refused, 2 invalid command, 3 files have problems,
    4 undecided (repeat with --change), 5 accepted but not in force in time,
    6 key missing or wrong, 7 no response, 8 declined
docs/LANGUAGE.md describes the language.";

/// The options and the command.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(
    options,
    version,
    descr("Shows and changes what a chestnutlane system serves"),
    footer(FOOTER)
)]
pub struct Options {
    /// The operators' address of a daemon, on the users' platform its metrics address;
    /// may be repeated: the first that responds is used, for gates all of them
    #[bpaf(long, short, argument("ADDR"), env("CHESTNUT_SERVERS"))]
    pub server: Vec<String>,
    /// The team that the command acts for
    #[bpaf(long, short, argument("TEAM"), env("CHESTNUT_TEAM"))]
    pub team: Option<String>,
    /// The file with the team's key (default: the variable CHESTNUT_KEY)
    #[bpaf(long, argument("FILE"), env("CHESTNUT_KEY_FILE"))]
    pub key_file: Option<PathBuf>,
    /// The author of the change, shown in the history and to others whose changes
    /// conflict with it
    #[bpaf(long, argument("NAME"), env("USER"))]
    pub author: Option<String>,
    /// The purpose of the change, shown in the history
    #[bpaf(long, argument("TEXT"), fallback(String::new()))]
    pub note: String,
    /// The id of the change; use the id of an earlier attempt to retry it
    #[bpaf(long, argument("ID"))]
    pub change: Option<String>,
    /// The revision from which the files were edited (default: the newest)
    #[bpaf(long, argument("REVISION"))]
    pub base: Option<u64>,
    /// Wait until the change is in force at every daemon
    #[bpaf(long, short)]
    pub wait: bool,
    /// How long to wait, in seconds
    #[bpaf(long, argument("SECONDS"), fallback(30), display_fallback)]
    pub timeout: u64,
    /// Do not ask for confirmation
    #[bpaf(long, short)]
    pub yes: bool,
    /// The output format: table or json
    #[bpaf(long, short, argument("FORM"), fallback(Output::Table))]
    pub output: Output,
    /// The command
    #[bpaf(positional("COMMAND"), some("write a command, such as `show models`"))]
    pub words: Vec<String>,
}

impl Options {
    /// The words of the command, joined by spaces.
    pub fn command(&self) -> String {
        self.words.join(" ")
    }

    /// How long to wait until a change is in force.
    pub fn wait_timeout(&self) -> Duration {
        Duration::from_secs(self.timeout)
    }
}
