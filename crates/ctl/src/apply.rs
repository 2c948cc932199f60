//! Planning and applying changes.

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
use crate::run::{Stop, author, confirm, files_at, print, print_json};

/// How often a change is repeated while nothing is decided.
const TRIES: u32 = 4;

/// The pause between two tries.
const PAUSE: Duration = Duration::from_millis(500);

/// How often is asked whether a change is in force.
const LOOK: Duration = Duration::from_millis(200);

#[derive(Debug, Deserialize)]
struct Planned {
    revision: Revision,
    reason: Option<RefusalReason>,
    plan: Plan,
}

#[derive(Debug, Deserialize)]
struct Daemons {
    rows: Vec<Row>,
}

/// Tells what applying a directory would do.
pub async fn plan(options: &Options, client: &Client, dir: &str) -> Result<Exit, Stop> {
    let text = files::read(dir)?;
    files::check_text(dir, &text)?;
    let Some(change) = change_to(options, client, text, &options.note).await? else {
        return Ok(nothing(options));
    };
    let planned = ask_plan(client, &change).await?;
    if options.output == Output::Json {
        let Planned { revision, reason, plan } = &planned;
        print_json(&json!({ "revision": revision, "reason": reason, "plan": plan }));
    } else if planned.reason.is_none() {
        print(&output::plan(&planned.plan));
    }
    Ok(match planned.reason {
        None => Exit::Done,
        Some(reason) => {
            eprintln!("it would be refused: {}", explain(&reason));
            Exit::Refused
        }
    })
}

/// Puts a team's text in force.
pub async fn apply(
    options: &Options,
    client: &Client,
    text: TeamFiles,
    note: &str,
) -> Result<Exit, Stop> {
    // A repeated change may be in force already, so that its edits are gone.
    if let Some(id) = &options.change
        && let Some(verdict) = earlier(client, id).await?
    {
        return finish(options, client, id, verdict).await;
    }
    let Some(change) = change_to(options, client, text, note).await? else {
        return Ok(nothing(options));
    };
    let planned = ask_plan(client, &change).await?;
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
    finish(options, client, &change.id, verdict).await
}

/// Tells the answer to an earlier change.
pub async fn change(options: &Options, client: &Client, id: &str) -> Result<Exit, Stop> {
    match earlier(client, id).await? {
        Some(verdict) => finish(options, client, id, verdict).await,
        None => Err(Stop::new(
            Exit::Undecided,
            format!("nothing is decided about change {id}; apply it again with --change"),
        )),
    }
}

async fn earlier(client: &Client, id: &str) -> Result<Option<Verdict>, Stop> {
    match client.get(&format!("change/{id}"), &[]).await {
        Ok(verdict) => Ok(Some(verdict)),
        Err(ClientError::Refused(status, _)) if status.as_u16() == 404 => Ok(None),
        Err(error) => Err(error.into()),
    }
}

/// The change that leads to a text; none if it is in force already.
async fn change_to(
    options: &Options,
    client: &Client,
    text: TeamFiles,
    note: &str,
) -> Result<Option<Change>, Stop> {
    let now = files_at(client, None).await?;
    let newest = now.revision;
    let mut edits = diff_files(&now.clone().text(), &text);
    let mut base = newest;
    if let Some(seen) = options.base.filter(|seen| *seen != newest) {
        // What the author did not touch is left as others made it meanwhile.
        let then = files_at(client, Some(seen)).await?;
        edits = chestnut_config::change::diff_files(&then.text(), &text);
        base = seen;
    }
    if edits.is_empty() {
        return Ok(None);
    }
    let team = options.team.clone().unwrap_or_default();
    let team = TeamName::try_from(team)
        .map_err(|error| Stop::new(Exit::Usage, format!("the team: {error}")))?;
    let id = options.change.clone().unwrap_or_else(new_id);
    let author = author(options)?;
    let note = note.to_owned();
    Ok(Some(Change { id, team, author, note, base: Revision(base), edits }))
}

fn new_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}

async fn ask_plan(client: &Client, change: &Change) -> Result<Planned, Stop> {
    client.post("plan", &json!(change)).await.map_err(refused)
}

/// Sends a change until its answer is known, always under the same id.
async fn send(client: &Client, change: &Change) -> Result<Verdict, Stop> {
    let mut why = String::new();
    for attempt in 0..TRIES {
        if attempt > 0 {
            eprintln!("nothing is decided yet; asking again");
            tokio::time::sleep(PAUSE * attempt).await;
        }
        match client.post("apply", &json!(change)).await {
            Ok(verdict) => return Ok(verdict),
            Err(ClientError::NoAnswer(text) | ClientError::Unavailable(text)) => {
                why = text;
            }
            Err(error) => return Err(refused(error)),
        }
    }
    Err(Stop::new(
        Exit::Undecided,
        format!(
            "nothing is known of the change ({why}); repeat with --change {}",
            change.id
        ),
    ))
}

fn refused(error: ClientError) -> Stop {
    match error {
        ClientError::Refused(_, why) => Stop::new(Exit::Refused, why),
        other => other.into(),
    }
}

async fn finish(
    options: &Options,
    client: &Client,
    id: &str,
    verdict: Verdict,
) -> Result<Exit, Stop> {
    if options.output == Output::Json {
        print_json(&json!({ "change": id, "answer": verdict }));
    }
    match verdict {
        Verdict::Refused { reason, .. } => {
            eprintln!("refused: {}", explain(&reason));
            Ok(Exit::Refused)
        }
        Verdict::Accepted { revision, rebased } => {
            if options.output == Output::Table {
                let on_top = if rebased { ", on top of others' changes" } else { "" };
                println!("accepted as revision {revision}{on_top}");
            }
            if options.wait {
                wait(options, client, revision).await
            } else {
                Ok(Exit::Done)
            }
        }
    }
}

/// Waits until every daemon that stays has the revision in force.
async fn wait(options: &Options, client: &Client, to: Revision) -> Result<Exit, Stop> {
    let start = Instant::now();
    let mut shown = None;
    loop {
        let behind = match client.get::<Daemons>("show/daemons", &[]).await {
            Ok(found) => lagging(&found.rows, to),
            // Keep asking: the daemon may be on its way out.
            Err(ClientError::NoAnswer(why) | ClientError::Unavailable(why)) => vec![why],
            Err(error) => return Err(error.into()),
        };
        if behind.is_empty() {
            eprintln!("in force everywhere after {:.1} s", start.elapsed().as_secs_f64());
            return Ok(Exit::Done);
        }
        if shown.as_ref() != Some(&behind) {
            eprintln!("waiting for {}", behind.join(", "));
            shown = Some(behind.clone());
        }
        if start.elapsed() > options.patience() {
            let text = format!("accepted, and not yet in force at {}", behind.join(", "));
            return Err(Stop::new(Exit::NotInForce, text));
        }
        tokio::time::sleep(LOOK).await;
    }
}

fn lagging(rows: &[Row], to: Revision) -> Vec<String> {
    let staying = rows.iter().filter(|row| row["leaving"] != true);
    staying
        .filter(|row| row["revision"].as_u64().is_none_or(|revision| revision < to.0))
        .map(|row| row["name"].as_str().unwrap_or("?").to_owned())
        .collect()
}

fn nothing(options: &Options) -> Exit {
    match options.output {
        Output::Table => println!("nothing to change; these files are in force"),
        Output::Json => print_json(&json!({ "change": null })),
    }
    Exit::Done
}

/// Why a change is refused, with the other authors.
fn explain(reason: &RefusalReason) -> String {
    match reason {
        RefusalReason::Conflict { author, others } => format!(
            "{author} and others changed the same files:\n{}\nlook at their changes, edit \
             your files and apply them again",
            named(others)
        ),
        RefusalReason::UnknownBase { base } => {
            format!("there is no revision {base} yet; name one that `history` shows")
        }
        RefusalReason::Invalid { problems, others } if others.is_empty() => {
            format!("all teams' declarations together would be wrong:\n{problems}")
        }
        RefusalReason::Invalid { problems, others } => format!(
            "all teams' declarations together would be wrong:\n{problems}\nthe other files \
             were written by:\n{}",
            named(others)
        ),
    }
}

fn named(others: &[RelatedChange]) -> String {
    let lines = others.iter().map(|other| {
        let RelatedChange { file, author, change, revision } = other;
        format!("  {file} by {author} (revision {revision}, change {change})")
    });
    lines.collect::<Vec<_>>().join("\n")
}
