//! The choice of a backend server for one attempt.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use chestnut_base::{Code, Fence, MemberId, Refusal, ServerName, Target, Work};
use chestnut_member::{ClaimKey, ServerRole, View};
use chestnut_wire::Load;
use indexmap::IndexMap;

use crate::shared::Shared;

/// The backend server that was chosen and the daemon that leads it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// The backend server.
    pub server: ServerName,
    /// The daemon that leads it.
    pub member: MemberId,
    /// Where that daemon answers other daemons.
    pub addr: SocketAddr,
    /// The fence of its claim.
    pub fence: Fence,
}

/// What became of an attempt at a backend server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Note {
    /// The lead told the load.
    Load(Load),
    /// Tokens arrived.
    Tokens(u32),
    /// The lead refused.
    Refused,
    /// The backend server broke off.
    Broken {
        /// Whether it died.
        crashed: bool,
    },
    /// The lead does not answer.
    Unreachable,
    /// The attempt is over, however it ended.
    Over,
}

/// Chooses backend servers by what this entry knows.
#[derive(Default)]
pub struct Picker {
    own: Mutex<IndexMap<ServerName, u32>>,
}

impl Picker {
    /// Creates a picker that knows no load yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Chooses a backend server that was not tried yet and counts the attempt.
    pub fn pick(
        &self,
        shared: &Shared,
        work: &Work,
        tried: &[ServerName],
    ) -> Result<Choice, Refusal> {
        let view = shared.view();
        let mut own = self.own.lock().expect("no holder of the counts panics");
        let best = candidates(shared, &view, work)
            .into_iter()
            .filter(|choice| !tried.contains(&choice.server))
            .min_by_key(|choice| own.get(&choice.server).copied().unwrap_or(0));
        let Some(choice) = best else {
            return Err(nowhere(work));
        };
        *own.entry(choice.server.clone()).or_default() += 1;
        Ok(choice)
    }

    /// Takes note of what became of an attempt.
    pub fn note(&self, server: &ServerName, note: Note) {
        if note == Note::Over {
            let mut own = self.own.lock().expect("no holder of the counts panics");
            if let Some(count) = own.get_mut(server) {
                *count = count.saturating_sub(1);
            }
        }
    }

    /// Whether the budget allows one more attempt after a broken one.
    pub fn may_retry(&self, _shared: &Shared) -> bool {
        true
    }
}

/// The backend servers that can serve the work and whose lead is known.
fn candidates(shared: &Shared, view: &View, work: &Work) -> Vec<Choice> {
    let choice = |server: &ServerName| {
        let info = view.servers.get(server)?;
        if info.leaving {
            return None;
        }
        let (claim, member) = view.holder(&ClaimKey::Server(server.clone()))?;
        Some(Choice {
            server: server.clone(),
            member: claim.holder,
            addr: member.peer_addr,
            fence: claim.fence,
        })
    };
    match &work.target {
        Target::Model { model, version, adapter } => shared
            .residence()
            .serving(model, version, adapter.as_ref())
            .filter_map(choice)
            .collect(),
        Target::Service { name } => view
            .servers
            .iter()
            .filter(|(_, info)| info.role == ServerRole::Service(name.clone()))
            .filter_map(|(server, _)| choice(server))
            .collect(),
    }
}

fn nowhere(work: &Work) -> Refusal {
    let (code, what) = match &work.target {
        Target::Model { model, .. } => (Code::NotResident, model.to_string()),
        Target::Service { name } => (Code::Unavailable, name.to_string()),
    };
    let text = format!("no backend server serves {what} now; wait and send again");
    Refusal::not_run(code, text).after(Duration::from_secs(2))
}
