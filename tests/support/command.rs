//! The commands of a scenario.

use indexmap::IndexMap;
use serde_json::Value;

use super::Failure;

/// A command and the line it stands on.
pub struct Step {
    /// The line, counted from 1.
    pub line: usize,
    /// The command.
    pub command: Command,
}

/// What a line asks for.
pub enum Command {
    /// `world [engines=N] [daemons=N] [services=N]`: the usual processes, ready.
    World(Options),
    /// `start platform|engine|service|daemon NAME [OPTION=VALUE]..`
    Start(Kind, String, Options),
    /// `kill|freeze|thaw|terminate NAME`
    Signal(Signal, String),
    /// `exits NAME CODE`: waits until the process ends with this code.
    Exits(String, i32),
    /// `alias NAME [not] server:NAME|slot:CALLER/KEY`: calls the daemon that leads
    /// this, or one that does not, by another name.
    Alias { alias: String, claim: String, not: bool },
    /// `fault NAME JSON`: switches faults of a stand-in.
    Fault(String, Value),
    /// `vm NAME live|leaving|gone`: changes the platform's list of VMs.
    Vm(String, String),
    /// `declare TEAM FILE [at=NAME] [base=REVISION]`, then the text up to a line
    /// `end`, or with the option `removed`; expectations about the answer may follow.
    Declare { team: String, file: String, text: Option<String>, options: Options },
    /// `file DIR FILE`, then the text up to a line `end`, or `file DIR FILE removed`:
    /// changes a file of an operator's directory.
    File { dir: String, file: String, text: Option<String> },
    /// `operate NAME TEAM [at=DAEMONS] WORD..`: starts `chestnutctl` with the words;
    /// `@DIR` stands for an operator's directory.
    Operate { name: String, team: String, at: Vec<String>, words: Vec<String> },
    /// `ended NAME`: waits until an operator's command ends; `-> exit=N WORD..` may
    /// follow.
    Ended(String),
    /// `gone NAME`: an operator is killed.
    Gone(String),
    /// `ask NAME [OPTION=VALUE]..`: sends requests and waits for the answers.
    Ask(String, Options),
    /// `send NAME [OPTION=VALUE]..`: sends requests and goes on.
    Send(String, Options),
    /// `await NAME`: waits for the answers to what was sent.
    Await(String),
    /// `pending NAME`: none of the answers has come yet.
    Pending(String),
    /// `drop NAME`: the callers go away.
    Drop(String),
    /// `seen NAME N`: waits until an answer has so many tokens.
    Seen(String, usize),
    /// `-> FACT.. | FACT..`: what must be true of all answers that came last.
    Expect(Vec<Vec<String>>),
    /// `eventually NAME [OPTION=VALUE].. -> FACTS`: asks until the facts hold.
    Eventually(String, Options, Vec<Vec<String>>),
    /// `until|check NAME[:PATH] POINTER OP VALUE`: looks at a process's JSON.
    Look { wait: bool, look: Look },
    /// `sleep MS`: lets time pass where the scenario is about time.
    Sleep(u64),
}

/// The processes that a scenario can start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// The stand-in of the platform.
    Platform,
    /// The stand-in of a model engine.
    Engine,
    /// The stand-in of a plain service.
    Service,
    /// The daemon.
    Daemon,
}

/// What can be sent to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// SIGKILL: the process dies at once.
    Kill,
    /// SIGSTOP: the process stands still and knows nothing of it.
    Freeze,
    /// SIGCONT: the process goes on.
    Thaw,
    /// SIGTERM: the process leaves.
    Terminate,
}

/// A question about the JSON that a process answers.
pub struct Look {
    /// The process; `engines` or `services` stand for the sum over all of them.
    pub name: String,
    /// The path; the process's own page of state if it is empty.
    pub path: String,
    /// The JSON pointer; with `#` at its end it stands for the number of entries.
    pub pointer: String,
    /// How the value is compared.
    pub compare: Compare,
    /// What it is compared with.
    pub value: Value,
}

/// How a value is compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Compare {
    /// `==`
    Equal,
    /// `!=`
    Differs,
    /// `>=`
    AtLeast,
    /// `<=`
    AtMost,
}

/// Options of a command; a flag's value is empty.
#[derive(Debug, Clone, Default)]
pub struct Options(pub IndexMap<String, String>);

impl Options {
    /// An option's text.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.0.get(name).map(String::as_str)
    }

    /// An option's text, or another one.
    pub fn or<'a>(&'a self, name: &str, other: &'a str) -> &'a str {
        self.text(name).unwrap_or(other)
    }

    /// An option's number, or another one.
    pub fn number(&self, name: &str, other: usize) -> Result<usize, Failure> {
        let Some(text) = self.text(name) else { return Ok(other) };
        text.parse().map_err(|_| format!("{name}={text} is no whole number"))
    }

    /// Whether a flag is set.
    pub fn flag(&self, name: &str) -> bool {
        self.0.contains_key(name)
    }
}
