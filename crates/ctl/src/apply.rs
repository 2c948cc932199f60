//! Plans and applies changes.

use std::time::{Duration, Instant};

use chestnut_base::{Revision, TeamName};
use chestnut_config::change::{RelatedChange, diff_files};
use chestnut_config::{Change, Plan, RefusalReason, TeamFiles, Verdict};
use serde::Deserialize;
use serde_json::json;

use crate::client::{Client, ClientError};
use crate::exit::Exit;
use crate::files;
use crate::options::{Options, Output};
use crate::output;
use crate::query::Row;
use crate::run::{CommandError, author, confirm, fetch_files, print, print_json};

/// The maximum number of times that a change is sent while its verdict is unknown.
const MAX_SENDS: u32 = 4;

/// The delay before the first retry; later ones are multiples of it.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// The time between checks of whether a change is in force.
const IN_FORCE_POLL_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Debug, Deserialize)]
struct PlanResponse {
    revision: Revision,
    reason: Option<RefusalReason>,
    plan: Plan,
}

#[derive(Debug, Deserialize)]
struct DaemonsResponse {
    rows: Vec<Row>,
}

/// Shows what applying a directory would do.
pub async fn plan(
    options: &Options,
    client: &Client,
    dir: &str,
) -> Result<Exit, CommandError> {
    let files = files::read(dir)?;
    files::check_files(dir, &files)?;
    let Some(change) = build_change(options, client, files, &options.note).await? else {
        return Ok(report_no_change(options));
    };
    let planned = request_plan(client, &change).await?;
    if options.output == Output::Json {
        let PlanResponse { revision, reason, plan } = &planned;
        print_json(&json!({ "revision": revision, "reason": reason, "plan": plan }));
    } else if planned.reason.is_none() {
        print(&output::plan(&planned.plan));
    }
    Ok(match planned.reason {
        None => Exit::Done,
        Some(reason) => {
            eprintln!("the change would be refused: {}", describe_refusal(&reason));
            Exit::Refused
        }
    })
}

/// Applies a team's files.
pub async fn apply(
    options: &Options,
    client: &Client,
    files: TeamFiles,
    note: &str,
) -> Result<Exit, CommandError> {
    // A change that is retried may be in force already; its edits would be empty then.
    if let Some(id) = &options.change
        && let Some(verdict) = stored_verdict(client, id).await?
    {
        return report_verdict(options, client, id, verdict).await;
    }
    let Some(change) = build_change(options, client, files, note).await? else {
        return Ok(report_no_change(options));
    };
    let planned = request_plan(client, &change).await?;
    if planned.reason.is_none() && options.output == Output::Table {
        print(&output::plan(&planned.plan));
    }
    if planned.reason.is_none()
        && !confirm(options, &format!("apply it to revision {}?", planned.revision))
    {
        return Ok(Exit::Declined);
    }
    eprintln!("change {}", change.id);
    let verdict = send(client, &change).await?;
    report_verdict(options, client, &change.id, verdict).await
}

/// Shows the verdict on an earlier change.
pub async fn change(
    options: &Options,
    client: &Client,
    id: &str,
) -> Result<Exit, CommandError> {
    match stored_verdict(client, id).await? {
        Some(verdict) => report_verdict(options, client, id, verdict).await,
        None => Err(CommandError::new(
            Exit::Undecided,
            format!("there is no verdict on change {id}; apply it again with --change"),
        )),
    }
}

async fn stored_verdict(
    client: &Client,
    id: &str,
) -> Result<Option<Verdict>, CommandError> {
    match client.get(&format!("change/{id}"), &[]).await {
        Ok(verdict) => Ok(Some(verdict)),
        Err(ClientError::Refused(status, _)) if status.as_u16() == 404 => Ok(None),
        Err(error) => Err(error.into()),
    }
}

/// Builds the change that puts files in force; `None` if they already are.
async fn build_change(
    options: &Options,
    client: &Client,
    files: TeamFiles,
    note: &str,
) -> Result<Option<Change>, CommandError> {
    let current = fetch_files(client, None).await?;
    let newest = current.revision;
    let mut edits = diff_files(&current.clone().into_team_files(), &files);
    let mut base = newest;
    if let Some(revision) = options.base.filter(|revision| *revision != newest) {
        // Files that the author did not edit keep the changes of others.
        let original = fetch_files(client, Some(revision)).await?;
        edits = chestnut_config::change::diff_files(&original.into_team_files(), &files);
        base = revision;
    }
    if edits.is_empty() {
        return Ok(None);
    }
    let team = options.team.clone().unwrap_or_default();
    let team = TeamName::try_from(team)
        .map_err(|error| CommandError::new(Exit::Usage, format!("the team: {error}")))?;
    let id = options.change.clone().unwrap_or_else(new_id);
    let author = author(options)?;
    let note = note.to_owned();
    Ok(Some(Change { id, team, author, note, base: Revision(base), edits }))
}

fn new_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}

async fn request_plan(
    client: &Client,
    change: &Change,
) -> Result<PlanResponse, CommandError> {
    client.post("plan", &json!(change)).await.map_err(to_command_error)
}

/// Sends a change, with the same id, until its verdict is known, at most [`MAX_SENDS`]
/// times.
async fn send(client: &Client, change: &Change) -> Result<Verdict, CommandError> {
    let mut last_error = String::new();
    for attempt in 0..MAX_SENDS {
        if attempt > 0 {
            eprintln!("there is no verdict yet; sending the change again");
            tokio::time::sleep(RETRY_DELAY * attempt).await;
        }
        match client.post("apply", &json!(change)).await {
            Ok(verdict) => return Ok(verdict),
            Err(ClientError::NoResponse(text) | ClientError::Unavailable(text)) => {
                last_error = text;
            }
            Err(error) => return Err(to_command_error(error)),
        }
    }
    Err(CommandError::new(
        Exit::Undecided,
        format!(
            "the verdict on the change is unknown ({last_error}); send it again with \
             --change {}",
            change.id
        ),
    ))
}

fn to_command_error(error: ClientError) -> CommandError {
    match error {
        ClientError::Refused(_, reason) => CommandError::new(Exit::Refused, reason),
        other => other.into(),
    }
}

async fn report_verdict(
    options: &Options,
    client: &Client,
    id: &str,
    verdict: Verdict,
) -> Result<Exit, CommandError> {
    if options.output == Output::Json {
        print_json(&json!({ "change": id, "answer": verdict }));
    }
    match verdict {
        Verdict::Refused { reason, .. } => {
            eprintln!("refused: {}", describe_refusal(&reason));
            Ok(Exit::Refused)
        }
        Verdict::Accepted { revision, rebased } => {
            if options.output == Output::Table {
                let on_top = if rebased { ", on top of others' changes" } else { "" };
                println!("accepted as revision {revision}{on_top}");
            }
            if options.wait {
                wait_until_in_force(options, client, revision).await
            } else {
                Ok(Exit::Done)
            }
        }
    }
}

/// Waits until the revision is in force at every daemon that is not leaving.
async fn wait_until_in_force(
    options: &Options,
    client: &Client,
    revision: Revision,
) -> Result<Exit, CommandError> {
    let start = Instant::now();
    let mut reported = None;
    loop {
        let behind = match client.get::<DaemonsResponse>("show/daemons", &[]).await {
            Ok(response) => lagging_daemons(&response.rows, revision),
            // The daemon may be shutting down; another one may respond next time.
            Err(ClientError::NoResponse(reason) | ClientError::Unavailable(reason)) => {
                vec![reason]
            }
            Err(error) => return Err(error.into()),
        };
        if behind.is_empty() {
            eprintln!("in force everywhere after {:.1} s", start.elapsed().as_secs_f64());
            return Ok(Exit::Done);
        }
        if reported.as_ref() != Some(&behind) {
            eprintln!("waiting for {}", behind.join(", "));
            reported = Some(behind.clone());
        }
        if start.elapsed() > options.wait_timeout() {
            let message =
                format!("accepted, but not yet in force at {}", behind.join(", "));
            return Err(CommandError::new(Exit::NotInForce, message));
        }
        tokio::time::sleep(IN_FORCE_POLL_INTERVAL).await;
    }
}

fn lagging_daemons(rows: &[Row], target: Revision) -> Vec<String> {
    let staying = rows.iter().filter(|row| row["leaving"] != true);
    staying
        .filter(|row| row["revision"].as_u64().is_none_or(|revision| revision < target.0))
        .map(|row| row["name"].as_str().unwrap_or("?").to_owned())
        .collect()
}

fn report_no_change(options: &Options) -> Exit {
    match options.output {
        Output::Table => println!("nothing to change; these files are in force"),
        Output::Json => print_json(&json!({ "change": null })),
    }
    Exit::Done
}

/// Describes why a change is refused and names the authors of other changes.
fn describe_refusal(reason: &RefusalReason) -> String {
    match reason {
        RefusalReason::Conflict { author, others } => format!(
            "{author} and others changed the same files:\n{}\nlook at their changes, edit \
             your files and apply them again",
            list_changes(others)
        ),
        RefusalReason::UnknownBase { base } => {
            format!("there is no revision {base} yet; name one that `history` shows")
        }
        RefusalReason::Invalid { problems, others } if others.is_empty() => {
            format!("all teams' declarations together would be invalid:\n{problems}")
        }
        RefusalReason::Invalid { problems, others } => format!(
            "all teams' declarations together would be invalid:\n{problems}\nthe other files \
             were written by:\n{}",
            list_changes(others)
        ),
    }
}

fn list_changes(others: &[RelatedChange]) -> String {
    let lines = others.iter().map(|other| {
        let RelatedChange { file, author, change, revision } = other;
        format!("  {file} by {author} (revision {revision}, change {change})")
    });
    lines.collect::<Vec<_>>().join("\n")
}
