//! How often things ran, as the backend servers counted.

use chestnut_fake::caller::{CallerRequest, Operation};
use chestnut_fake::{EngineCounts, ServerHandle, ServiceCounts};
use indexmap::IndexMap;
use serde::de::DeserializeOwned;

use super::stage::Stage;
use crate::error::StageError;

/// How often things ran.
pub struct Ran {
    /// Calls of the plain service, by the caller's key.
    calls: IndexMap<String, u32>,
    /// Prompts.
    prompts: IndexMap<String, u32>,
}

impl Ran {
    /// Asks the backend servers.
    pub async fn read(stage: &Stage) -> Result<Self, StageError> {
        let mut ran = Self { calls: IndexMap::new(), prompts: IndexMap::new() };
        for server in &stage.services {
            let counts: ServiceCounts = counts(stage, server).await?;
            add(&mut ran.calls, counts.runs);
        }
        for engine in &stage.engines {
            let counts: EngineCounts = counts(stage, engine).await?;
            add(&mut ran.prompts, counts.prompts);
        }
        Ok(ran)
    }

    /// How often a request ran.
    pub fn of(&self, ask: &CallerRequest) -> u32 {
        let count = match (&ask.operation, &ask.idempotency_key) {
            (Operation::Completion(completion), _) => {
                self.prompts.get(&completion.prompt)
            }
            (_, Some(key)) => self.calls.get(key),
            _ => None,
        };
        count.copied().unwrap_or(0)
    }
}

async fn counts<T: DeserializeOwned>(
    stage: &Stage,
    server: &ServerHandle,
) -> Result<T, StageError> {
    let url = format!("{}/counts", server.url());
    Ok(stage.http.get(url).send().await?.json().await?)
}

fn add(sums: &mut IndexMap<String, u32>, counts: IndexMap<String, u32>) {
    for (key, count) in counts {
        *sums.entry(key).or_default() += count;
    }
}
