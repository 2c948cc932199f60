//! Carrying out commands.

use std::fs::{self, File};
use std::io::{self, BufReader, Write};

use chestnut_config::TeamFiles;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::apply;
use crate::client::{Client, ClientError};
use crate::exit::Exit;
use crate::files::{self, FileError};
use crate::gates;
use crate::language::{self, Command};
use crate::options::{Options, Output};
use crate::output;
use crate::query::{Query, Row};
use crate::schema::{HISTORY, Section, Source};
use crate::trace::Trace;

/// Carries out the command.
pub fn main(options: &Options) -> Exit {
    let text = options.command();
    let command = match language::parse(&text) {
        Ok(command) => command,
        Err(fault) => {
            eprintln!("{}", fault.show(&text));
            return Exit::Usage;
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(carry_out(options, command)),
        Err(error) => {
            Err(Stop::new(Exit::NoAnswer, format!("the runtime can't start: {error}")))
        }
    };
    match result {
        Ok(exit) => exit,
        Err(stop) => {
            eprintln!("{}", stop.text);
            stop.exit
        }
    }
}

/// Why a command was not carried out.
#[derive(Debug)]
pub struct Stop {
    /// How the process ends.
    pub exit: Exit,
    /// What the operator is told.
    pub text: String,
}

impl Stop {
    /// Creates a reason.
    pub fn new(exit: Exit, text: impl Into<String>) -> Self {
        Self { exit, text: text.into() }
    }
}

impl From<ClientError> for Stop {
    fn from(error: ClientError) -> Self {
        let exit = match error {
            ClientError::NoServer => Exit::Usage,
            ClientError::Key(_) => Exit::Key,
            ClientError::NoAnswer(_)
            | ClientError::Unavailable(_)
            | ClientError::Refused(..) => Exit::NoAnswer,
        };
        Self::new(exit, error.to_string())
    }
}

impl From<FileError> for Stop {
    fn from(error: FileError) -> Self {
        Self::new(Exit::Files, error.to_string())
    }
}

async fn carry_out(options: &Options, command: Command) -> Result<Exit, Stop> {
    match command {
        Command::Check(path) => {
            println!("{path}: {} without problems", files::check(&path)?);
            Ok(Exit::Done)
        }
        Command::Trace { id, files } => trace(&id, &files),
        Command::Plan(dir) => apply::plan(options, &client(options)?, &dir).await,
        Command::Apply(dir) => {
            let client = client(options)?;
            let text = files::read(&dir)?;
            files::check_text(&dir, &text)?;
            apply::apply(options, &client, text, &options.note).await
        }
        Command::Rollback { to } => {
            let client = client(options)?;
            let text = files_at(&client, Some(to)).await?.text();
            let note = format!("rollback to revision {to}");
            apply::apply(options, &client, text, &note).await
        }
        Command::Change(id) => apply::change(options, &client(options)?, &id).await,
        Command::Show(query) => match query.subject.source {
            Source::Gate(section) => show_gates(options, &query, section).await,
            Source::Daemon => show(options, &client(options)?, &query).await,
        },
        Command::History { limit } => history(options, &client(options)?, limit).await,
        Command::Explain(asked) => explain(options, &client(options)?, &asked).await,
        Command::Drain(vm) => drain(options, &client(options)?, &vm).await,
    }
}

fn client(options: &Options) -> Result<Client, Stop> {
    let team = options.team.clone().ok_or_else(|| {
        Stop::new(Exit::Key, "no team is named; use --team or the variable CHESTNUT_TEAM")
    })?;
    let key = match &options.key_file {
        Some(path) => fs::read_to_string(path).map_err(|error| {
            let path = path.display();
            Stop::new(Exit::Key, format!("the key file {path} can't be read ({error})"))
        })?,
        None => std::env::var("CHESTNUT_KEY").map_err(|_| {
            Stop::new(
                Exit::Key,
                "the team's key is missing; use --key-file or the variable CHESTNUT_KEY",
            )
        })?,
    };
    Ok(Client::new(&options.server, team, key.trim().to_owned())?)
}

/// A team's files as a daemon knows them.
#[derive(Debug, Clone, Deserialize)]
pub struct FilesAtRevision {
    /// The newest revision.
    pub revision: u64,
    files: indexmap::IndexMap<String, String>,
}

impl FilesAtRevision {
    /// The texts.
    pub fn text(self) -> TeamFiles {
        TeamFiles { files: self.files }
    }
}

/// The team's files, now or at a revision.
pub async fn files_at(client: &Client, at: Option<u64>) -> Result<FilesAtRevision, Stop> {
    let query: Vec<_> = at.map(|at| ("at", at.to_string())).into_iter().collect();
    client.get("files", &query).await.map_err(|error| match error {
        ClientError::Refused(_, why) => Stop::new(Exit::Refused, why),
        other => other.into(),
    })
}

#[derive(Debug, Deserialize)]
struct Rows {
    revision: u64,
    rows: Vec<Row>,
}

async fn show(options: &Options, client: &Client, query: &Query) -> Result<Exit, Stop> {
    let path = format!("show/{}", query.subject.name);
    let found: Rows = client.get(&path, &[]).await?;
    let rows = query.run(found.rows);
    match options.output {
        Output::Table => print(&output::table(query.subject, &rows)),
        Output::Json => {
            print_json(&json!({ "revision": found.revision, "rows": rows }));
        }
    }
    Ok(Exit::Done)
}

/// Shows what all named daemons on the users' platform believe.
async fn show_gates(
    options: &Options,
    query: &Query,
    section: Section,
) -> Result<Exit, Stop> {
    let seen = gates::ask(&options.server, section).await?;
    for (server, error) in &seen.silent {
        eprintln!("{server}: {error}");
    }
    let rows = query.run(seen.rows);
    match options.output {
        Output::Table => print(&output::table(query.subject, &rows)),
        Output::Json => print_json(&json!({ "rows": rows })),
    }
    Ok(Exit::Done)
}

/// Tells a request's way from logs.
fn trace(id: &str, files: &[String]) -> Result<Exit, Stop> {
    let mut trace = Trace::new(id);
    let unread = |name: &str, error: io::Error| {
        Stop::new(Exit::Files, format!("{name} can't be read ({error}); name a log"))
    };
    for name in files {
        let file = File::open(name).map_err(|error| unread(name, error))?;
        trace.read(BufReader::new(file)).map_err(|error| unread(name, error))?;
    }
    if files.is_empty() {
        let read = trace.read(io::stdin().lock());
        read.map_err(|error| unread("standard input", error))?;
    }
    if trace.unread() > 0 {
        eprintln!("{} lines are no log lines and were passed over", trace.unread());
    }
    if trace.is_empty() {
        let text = format!("no line names {id}; take the logs of all daemons");
        return Err(Stop::new(Exit::Refused, text));
    }
    println!("{trace}");
    Ok(Exit::Done)
}

async fn history(
    options: &Options,
    client: &Client,
    limit: Option<usize>,
) -> Result<Exit, Stop> {
    let query: Vec<_> = limit.map(|n| ("limit", n.to_string())).into_iter().collect();
    let found: Rows = client.get("history", &query).await?;
    match options.output {
        Output::Table => print(&output::table(&HISTORY, &found.rows)),
        Output::Json => {
            print_json(&json!({ "revision": found.revision, "rows": found.rows }));
        }
    }
    Ok(Exit::Done)
}

async fn explain(
    options: &Options,
    client: &Client,
    asked: &[(&str, String)],
) -> Result<Exit, Stop> {
    let found: Value = client.get("explain", asked).await?;
    if options.output == Output::Json {
        print_json(&found);
        return Ok(Exit::Done);
    }
    for step in found["steps"].as_array().into_iter().flatten() {
        println!("- {}", step.as_str().unwrap_or_default());
    }
    for server in found["servers"].as_array().into_iter().flatten() {
        let text = |name: &str| server[name].as_str().unwrap_or("-").to_owned();
        let state = if server["leaving"] == true {
            "leaving"
        } else if server["resident"] == true {
            "can take it"
        } else {
            "does not hold it"
        };
        let (name, domain, lead) = (text("server"), text("domain"), text("lead"));
        let load = &server["load"];
        let number = |name: &str| load[name].as_u64().unwrap_or(0);
        let queue = if load.is_null() {
            "its queue is not known".to_owned()
        } else {
            format!(
                "{} run, {} wait before it, about {} ms",
                number("running"),
                number("queued"),
                number("wait_ms")
            )
        };
        println!("  {name} in {domain}, led by {lead}: {state}; {queue}");
    }
    Ok(Exit::Done)
}

async fn drain(options: &Options, client: &Client, vm: &str) -> Result<Exit, Stop> {
    if !confirm(options, &format!("let the daemon on {vm} leave?")) {
        return Ok(Exit::Declined);
    }
    let body = json!({ "vm": vm, "author": author(options)? });
    let found: Value =
        client.post("drain", &body).await.map_err(|error| match error {
            ClientError::Refused(_, why) => Stop::new(Exit::Refused, why),
            other => other.into(),
        })?;
    match options.output {
        Output::Table => println!("{vm} was told to leave; see `show daemons`"),
        Output::Json => print_json(&found),
    }
    Ok(Exit::Done)
}

/// Who makes the change.
pub fn author(options: &Options) -> Result<String, Stop> {
    match &options.author {
        Some(author) if !author.is_empty() => Ok(author.clone()),
        _ => Err(Stop::new(Exit::Usage, "nobody is named as author; use --author")),
    }
}

/// Asks the operator, unless `--yes` answers.
pub fn confirm(options: &Options, question: &str) -> bool {
    if options.yes {
        return true;
    }
    eprint!("{question} [y/N] ");
    let mut line = String::new();
    // Without an answer nothing is changed.
    let read = io::stderr().flush().and_then(|()| io::stdin().read_line(&mut line));
    read.is_ok() && matches!(line.trim(), "y" | "yes")
}

/// Prints a text; a reader that went away is not an error.
pub fn print(text: &str) {
    drop(io::stdout().write_all(text.as_bytes()));
}

/// Prints one line of JSON.
pub fn print_json(value: &Value) {
    print(&format!("{value}\n"));
}
