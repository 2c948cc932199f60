//! Executes commands.

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

/// Executes the command and prints its output.
pub fn main(options: &Options) -> Exit {
    let text = options.command();
    let command = match language::parse(&text) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("{}", error.render(&text));
            return Exit::Usage;
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(execute(options, command)),
        Err(error) => Err(CommandError::new(
            Exit::NoResponse,
            format!("the runtime can't start: {error}"),
        )),
    };
    match result {
        Ok(exit) => exit,
        Err(error) => {
            eprintln!("{}", error.message);
            error.exit
        }
    }
}

/// Why a command did not succeed.
#[derive(Debug)]
pub struct CommandError {
    /// The result that determines the exit code.
    pub exit: Exit,
    /// The message for the operator.
    pub message: String,
}

impl CommandError {
    /// Creates an error with a message for the operator.
    pub fn new(exit: Exit, message: impl Into<String>) -> Self {
        Self { exit, message: message.into() }
    }
}

impl From<ClientError> for CommandError {
    fn from(error: ClientError) -> Self {
        let exit = match error {
            ClientError::NoServer => Exit::Usage,
            ClientError::InvalidKey(_) => Exit::InvalidKey,
            ClientError::NoResponse(_)
            | ClientError::Unavailable(_)
            | ClientError::Refused(..) => Exit::NoResponse,
        };
        Self::new(exit, error.to_string())
    }
}

impl From<FileError> for CommandError {
    fn from(error: FileError) -> Self {
        Self::new(Exit::InvalidFiles, error.to_string())
    }
}

async fn execute(options: &Options, command: Command) -> Result<Exit, CommandError> {
    match command {
        Command::Check(path) => {
            println!("{path}: {} without problems", files::check(&path)?);
            Ok(Exit::Done)
        }
        Command::Trace { id, files } => trace(&id, &files),
        Command::Plan(dir) => apply::plan(options, &client(options)?, &dir).await,
        Command::Apply(dir) => {
            let client = client(options)?;
            let files = files::read(&dir)?;
            files::check_files(&dir, &files)?;
            apply::apply(options, &client, files, &options.note).await
        }
        Command::Rollback { to } => {
            let client = client(options)?;
            let files = fetch_files(&client, Some(to)).await?.into_team_files();
            let note = format!("rollback to revision {to}");
            apply::apply(options, &client, files, &note).await
        }
        Command::Change(id) => apply::change(options, &client(options)?, &id).await,
        Command::Show(query) => match query.subject.source {
            Source::Gate(section) => show_gates(options, &query, section).await,
            Source::Daemon => show(options, &client(options)?, &query).await,
        },
        Command::History { limit } => history(options, &client(options)?, limit).await,
        Command::Explain(request) => explain(options, &client(options)?, &request).await,
        Command::Drain(vm) => drain(options, &client(options)?, &vm).await,
    }
}

fn client(options: &Options) -> Result<Client, CommandError> {
    let team = options.team.clone().ok_or_else(|| {
        CommandError::new(
            Exit::InvalidKey,
            "no team is named; use --team or the variable CHESTNUT_TEAM",
        )
    })?;
    let key = match &options.key_file {
        Some(path) => fs::read_to_string(path).map_err(|error| {
            let path = path.display();
            CommandError::new(
                Exit::InvalidKey,
                format!("the key file {path} can't be read ({error})"),
            )
        })?,
        None => std::env::var("CHESTNUT_KEY").map_err(|_| {
            CommandError::new(
                Exit::InvalidKey,
                "the team's key is missing; use --key-file or the variable CHESTNUT_KEY",
            )
        })?,
    };
    Ok(Client::new(&options.server, team, key.trim().to_owned())?)
}

/// A daemon's response with a team's files.
#[derive(Debug, Clone, Deserialize)]
pub struct FilesResponse {
    /// The newest revision, also if the files are of an earlier one.
    pub revision: u64,
    files: indexmap::IndexMap<String, String>,
}

impl FilesResponse {
    /// The files without the revision.
    pub fn into_team_files(self) -> TeamFiles {
        TeamFiles { files: self.files }
    }
}

/// Reads the team's files, of the newest revision or of `at`.
pub async fn fetch_files(
    client: &Client,
    at: Option<u64>,
) -> Result<FilesResponse, CommandError> {
    let query: Vec<_> = at.map(|at| ("at", at.to_string())).into_iter().collect();
    client.get("files", &query).await.map_err(|error| match error {
        ClientError::Refused(_, reason) => CommandError::new(Exit::Refused, reason),
        other => other.into(),
    })
}

#[derive(Debug, Deserialize)]
struct RowsResponse {
    revision: u64,
    rows: Vec<Row>,
}

async fn show(
    options: &Options,
    client: &Client,
    query: &Query,
) -> Result<Exit, CommandError> {
    let path = format!("show/{}", query.subject.name);
    let response: RowsResponse = client.get(&path, &[]).await?;
    let rows = query.run(response.rows);
    match options.output {
        Output::Table => print(&output::table(query.subject, &rows)),
        Output::Json => {
            print_json(&json!({ "revision": response.revision, "rows": rows }));
        }
    }
    Ok(Exit::Done)
}

/// Shows a section of the state of all named daemons on the users' platform.
async fn show_gates(
    options: &Options,
    query: &Query,
    section: Section,
) -> Result<Exit, CommandError> {
    let result = gates::query(&options.server, section).await?;
    for (server, error) in &result.failed {
        eprintln!("{server}: {error}");
    }
    let rows = query.run(result.rows);
    match options.output {
        Output::Table => print(&output::table(query.subject, &rows)),
        Output::Json => print_json(&json!({ "rows": rows })),
    }
    Ok(Exit::Done)
}

/// Shows a request's path from logs.
fn trace(id: &str, files: &[String]) -> Result<Exit, CommandError> {
    let mut trace = Trace::new(id);
    let read_error = |name: &str, error: io::Error| {
        CommandError::new(
            Exit::InvalidFiles,
            format!("{name} can't be read ({error}); name a log"),
        )
    };
    for name in files {
        let file = File::open(name).map_err(|error| read_error(name, error))?;
        trace.read_log(BufReader::new(file)).map_err(|error| read_error(name, error))?;
    }
    if files.is_empty() {
        let read = trace.read_log(io::stdin().lock());
        read.map_err(|error| read_error("standard input", error))?;
    }
    if trace.invalid_lines() > 0 {
        eprintln!("skipped {} lines that are not valid log lines", trace.invalid_lines());
    }
    if trace.is_empty() {
        let message =
            format!("no log line of request {id}; pass the logs of all daemons");
        return Err(CommandError::new(Exit::Refused, message));
    }
    println!("{trace}");
    Ok(Exit::Done)
}

async fn history(
    options: &Options,
    client: &Client,
    limit: Option<usize>,
) -> Result<Exit, CommandError> {
    let query: Vec<_> = limit.map(|n| ("limit", n.to_string())).into_iter().collect();
    let response: RowsResponse = client.get("history", &query).await?;
    match options.output {
        Output::Table => print(&output::table(&HISTORY, &response.rows)),
        Output::Json => {
            print_json(&json!({ "revision": response.revision, "rows": response.rows }));
        }
    }
    Ok(Exit::Done)
}

async fn explain(
    options: &Options,
    client: &Client,
    request: &[(&str, String)],
) -> Result<Exit, CommandError> {
    let response: Value = client.get("explain", request).await?;
    if options.output == Output::Json {
        print_json(&response);
        return Ok(Exit::Done);
    }
    for step in response["steps"].as_array().into_iter().flatten() {
        println!("- {}", step.as_str().unwrap_or_default());
    }
    for server in response["servers"].as_array().into_iter().flatten() {
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
            "its queue is unknown".to_owned()
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

async fn drain(
    options: &Options,
    client: &Client,
    vm: &str,
) -> Result<Exit, CommandError> {
    if !confirm(options, &format!("let the daemon on {vm} leave?")) {
        return Ok(Exit::Declined);
    }
    let body = json!({ "vm": vm, "author": author(options)? });
    let response: Value =
        client.post("drain", &body).await.map_err(|error| match error {
            ClientError::Refused(_, reason) => CommandError::new(Exit::Refused, reason),
            other => other.into(),
        })?;
    match options.output {
        Output::Table => println!("{vm} was told to leave; see `show daemons`"),
        Output::Json => print_json(&response),
    }
    Ok(Exit::Done)
}

/// The author named in the options.
pub fn author(options: &Options) -> Result<String, CommandError> {
    match &options.author {
        Some(author) if !author.is_empty() => Ok(author.clone()),
        _ => Err(CommandError::new(Exit::Usage, "no author is named; use --author")),
    }
}

/// Asks the operator for confirmation, unless `--yes` is given.
pub fn confirm(options: &Options, question: &str) -> bool {
    if options.yes {
        return true;
    }
    eprint!("{question} [y/N] ");
    let mut line = String::new();
    // Any input but `y` or `yes`, also a closed standard input, counts as no.
    let read = io::stderr().flush().and_then(|()| io::stdin().read_line(&mut line));
    read.is_ok() && matches!(line.trim(), "y" | "yes")
}

/// Prints a text to standard output; a closed pipe is not an error.
pub fn print(text: &str) {
    drop(io::stdout().write_all(text.as_bytes()));
}

/// Prints one line of JSON.
pub fn print_json(value: &Value) {
    print(&format!("{value}\n"));
}
