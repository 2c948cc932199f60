//! The options; everything else on the command line is one command.

use std::path::PathBuf;
use std::time::Duration;

use bpaf::Bpaf;

/// The form in which rows are printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// A table for people.
    Table,
    /// One JSON value for programs.
    Json,
}

impl std::str::FromStr for Output {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            _ => Err(format!("{text:?} is no form of output; write table or json")),
        }
    }
}

/// The commands and exit codes, for `--help`; four blanks keep a line as it
/// is, and an empty line would hide the rest.
const FOOTER: &str = "The words after the options are one command:
    check FILE|DIR     check settings or declarations without a daemon
    plan DIR           tell what applying a directory would do
    apply DIR          put a directory's files in force
    show WHAT [where CONDITION] [sort by FIELD [desc]] [limit N]
    explain request model = NAME [kind = NAME] [caller = NAME]
    history [limit N]
    rollback to N      put the team's files of revision N in force again
    change ID          tell the answer to an earlier change
    drain VM           tell a daemon to leave
    show gates|gate-tables|gate-members|gate-claims|gate-servers|gate-runners|gate-queues
                       what all named daemons on the users' platform believe
    trace ID [FILE...] tell a request's way from their logs (else from standard input)
    exit codes: 0 done, 1 refused, 2 command can't be read, 3 files have problems,
    4 undecided (repeat with --change), 5 accepted and not in force in time,
    6 key missing or wrong, 7 no answer, 8 declined
docs/LANGUAGE.md describes the language.";

/// The options and the command.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(
    options,
    version,
    descr("Asks and changes what a system of chestnutlane serves"),
    footer(FOOTER)
)]
pub struct Options {
    /// The operators' address of a daemon, on the users' platform the metrics address;
    /// may be repeated, the first that answers is used (for what gates show, all)
    #[bpaf(long, short, argument("ADDR"), env("CHESTNUT_SERVERS"))]
    pub server: Vec<String>,
    /// The team
    #[bpaf(long, short, argument("TEAM"), env("CHESTNUT_TEAM"))]
    pub team: Option<String>,
    /// The file that holds the team's key (else the variable CHESTNUT_KEY does)
    #[bpaf(long, argument("FILE"), env("CHESTNUT_KEY_FILE"))]
    pub key_file: Option<PathBuf>,
    /// Who makes the change, for the history and for whom it races
    #[bpaf(long, argument("NAME"), env("USER"))]
    pub author: Option<String>,
    /// What the change is for, for the history
    #[bpaf(long, argument("TEXT"), fallback(String::new()))]
    pub note: String,
    /// The id of the change; repeat it to learn what became of an earlier try
    #[bpaf(long, argument("ID"))]
    pub change: Option<String>,
    /// The revision from which the files were edited (else the newest)
    #[bpaf(long, argument("REVISION"))]
    pub base: Option<u64>,
    /// Wait until the change is in force at every daemon
    #[bpaf(long, short)]
    pub wait: bool,
    /// How long to wait, in seconds
    #[bpaf(long, argument("SECONDS"), fallback(30), display_fallback)]
    pub timeout: u64,
    /// Do not ask before changing anything
    #[bpaf(long, short)]
    pub yes: bool,
    /// The form of output: table or json
    #[bpaf(long, short, argument("FORM"), fallback(Output::Table))]
    pub output: Output,
    /// The command
    #[bpaf(positional("COMMAND"), some("write a command, such as `show models`"))]
    pub words: Vec<String>,
}

impl Options {
    /// The command as one text.
    pub fn command(&self) -> String {
        self.words.join(" ")
    }

    /// How long to wait for a change to be in force.
    pub fn patience(&self) -> Duration {
        Duration::from_secs(self.timeout)
    }
}
