//! Commands of a scenario.

use indexmap::IndexMap;
use serde_json::Value;

use super::Failure;

/// A command with its line number.
pub struct Step {
    /// Line in the scenario file, counted from 1.
    pub line: usize,
    /// The parsed command.
    pub command: Command,
}

/// A command, each with its syntax.
pub enum Command {
    /// `world [engines=N] [daemons=N] [services=N]`: starts the default processes and
    /// waits until they serve.
    Cluster(Options),
    /// `start platform|engine|service|daemon NAME [OPTION=VALUE]..`
    Start(ProcessKind, String, Options),
    /// `kill|freeze|thaw|terminate NAME`
    Signal(Signal, String),
    /// `exits NAME CODE`: waits until the process ends with this code.
    AwaitExit(String, i32),
    /// `alias NAME [not] server:NAME|slot:CALLER/KEY`: gives another name to the daemon
    /// that leads this, or with `not` to one that does not.
    Alias { alias: String, claim: String, inverted: bool },
    /// `fault NAME JSON`: sets the faults of a stand-in.
    SetFault(String, Value),
    /// `vm NAME live|leaving|gone`: changes the platform's list of VMs.
    SetVmState(String, String),
    /// `declare TEAM FILE [at=NAME] [base=REVISION]`, then the text up to a line `end`,
    /// or with the option `removed`: sends a change of the declarations. Expectations
    /// about the response may follow.
    Declare { team: String, file: String, text: Option<String>, options: Options },
    /// `file DIR FILE`, then the text up to a line `end`, or `file DIR FILE removed`:
    /// changes a file in an operator's directory.
    WriteFile { dir: String, file: String, text: Option<String> },
    /// `operate NAME TEAM [at=DAEMONS] WORD..`: starts `chestnutctl` with the words;
    /// `@DIR` stands for an operator's directory.
    StartOperator { name: String, team: String, at: Vec<String>, words: Vec<String> },
    /// `ended NAME`: waits until an operator's command exits; `-> exit=N WORD..` may
    /// follow.
    AwaitOperator(String),
    /// `gone NAME`: kills an operator's command.
    KillOperator(String),
    /// `ask NAME [OPTION=VALUE]..`: sends requests and waits for the responses.
    SendAndAwait(String, Options),
    /// `send NAME [OPTION=VALUE]..`: sends requests without waiting.
    Send(String, Options),
    /// `await NAME`: waits for the responses to what was sent.
    AwaitResponses(String),
    /// `pending NAME`: checks that none of the responses has arrived yet.
    CheckPending(String),
    /// `drop NAME`: closes the callers' connections.
    Disconnect(String),
    /// `seen NAME N`: waits until each response has at least N tokens.
    AwaitTokens(String, usize),
    /// `-> FACT.. | FACT..`: facts of which one alternative must hold for each of the
    /// latest responses.
    Expect(Vec<Vec<String>>),
    /// `eventually NAME [OPTION=VALUE].. -> FACTS`: sends requests until the facts hold.
    SendUntil(String, Options, Vec<Vec<String>>),
    /// `until|check NAME[:PATH] POINTER OP VALUE`: compares a value in the JSON of a
    /// process; `until` waits for it.
    CheckState { wait: bool, query: StateQuery },
    /// `sleep MS`: waits, in scenarios that depend on elapsed time.
    Sleep(u64),
}

/// Kinds of processes that a scenario can start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessKind {
    /// Stand-in for the platform.
    Platform,
    /// Stand-in for a model engine.
    Engine,
    /// Stand-in for a server of a plain service.
    Service,
    /// The daemon under test.
    Daemon,
}

/// Signals that a scenario can send to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// SIGKILL: the process ends at once.
    Kill,
    /// SIGSTOP: the process is suspended and can't react to it.
    Suspend,
    /// SIGCONT: the process resumes.
    Resume,
    /// SIGTERM: the process shuts down gracefully.
    Terminate,
}

/// A comparison of a value in the JSON of a process.
pub struct StateQuery {
    /// The process; `engines` and `services` stand for the sum over all of them.
    pub process: String,
    /// URL path; if empty, the process's own state page.
    pub path: String,
    /// JSON pointer to the value; with `#` at the end, the number of entries is compared.
    pub pointer: String,
    /// How the value is compared with the expected one.
    pub comparison: Comparison,
    /// The expected value.
    pub expected: Value,
}

/// Comparison operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Comparison {
    /// `==`
    Equal,
    /// `!=`
    Differs,
    /// `>=`
    AtLeast,
    /// `<=`
    AtMost,
}

/// Options of a command, `NAME=VALUE`; a flag's value is empty.
#[derive(Debug, Clone, Default)]
pub struct Options(pub IndexMap<String, String>);

impl Options {
    /// An option's text, if it is given.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.0.get(name).map(String::as_str)
    }

    /// An option's text, or the default.
    pub fn text_or<'a>(&'a self, name: &str, default: &'a str) -> &'a str {
        self.text(name).unwrap_or(default)
    }

    /// An option's number, or the default.
    pub fn number_or(&self, name: &str, default: usize) -> Result<usize, Failure> {
        let Some(text) = self.text(name) else { return Ok(default) };
        text.parse().map_err(|_| format!("{name}={text} is not a whole number"))
    }

    /// Whether an option or flag is given.
    pub fn is_set(&self, name: &str) -> bool {
        self.0.contains_key(name)
    }
}
