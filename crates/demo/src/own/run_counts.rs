//! The number of runs of each request, as counted by the backend servers.

use chestnut_fake::caller::{CallerRequest, Operation};
use chestnut_fake::{EngineCounts, ServerHandle, ServiceCounts};
use indexmap::IndexMap;
use serde::de::DeserializeOwned;

use super::cluster::Cluster;
use crate::error::DemoError;

/// The number of runs of each request.
pub struct RunCounts {
    /// Calls of the plain service, by idempotency key.
    calls_by_key: IndexMap<String, u32>,
    /// Completions, by prompt.
    runs_by_prompt: IndexMap<String, u32>,
}

impl RunCounts {
    /// Reads the counts of all backend servers.
    pub async fn read(cluster: &Cluster) -> Result<Self, DemoError> {
        let mut run_counts =
            Self { calls_by_key: IndexMap::new(), runs_by_prompt: IndexMap::new() };
        for server in &cluster.services {
            let counts: ServiceCounts = fetch_counts(cluster, server).await?;
            add_counts(&mut run_counts.calls_by_key, counts.runs);
        }
        for engine in &cluster.engines {
            let counts: EngineCounts = fetch_counts(cluster, engine).await?;
            add_counts(&mut run_counts.runs_by_prompt, counts.prompts);
        }
        Ok(run_counts)
    }

    /// The number of runs of a request.
    pub fn runs_of(&self, request: &CallerRequest) -> u32 {
        let count = match (&request.operation, &request.idempotency_key) {
            (Operation::Completion(completion), _) => {
                self.runs_by_prompt.get(&completion.prompt)
            }
            (_, Some(key)) => self.calls_by_key.get(key),
            _ => None,
        };
        count.copied().unwrap_or(0)
    }
}

async fn fetch_counts<T: DeserializeOwned>(
    cluster: &Cluster,
    server: &ServerHandle,
) -> Result<T, DemoError> {
    let url = format!("{}/counts", server.url());
    Ok(cluster.http.get(url).send().await?.json().await?)
}

fn add_counts(sums: &mut IndexMap<String, u32>, counts: IndexMap<String, u32>) {
    for (key, count) in counts {
        *sums.entry(key).or_default() += count;
    }
}
