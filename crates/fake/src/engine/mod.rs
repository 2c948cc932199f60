//! A model engine with continuous batching.
//!
//! A request is received by `http`, waits and runs in the [`batch`] and uses the prefix
//! [`cache`]. The generated [`text`] depends only on the model and the prompt, and a
//! `response` sends it to the client. `orders` change what is loaded into [`memory`].
//! Batch, cache and memory form the [`core`], which stand-ins with other protocols use
//! too.

pub mod batch;
pub mod cache;
pub mod core;
mod http;
pub mod memory;
mod orders;
mod response;
pub mod text;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use self::batch::Batch;
use self::cache::PrefixCache;
use self::core::EngineCore;
use self::memory::Memory;
use self::orders::OrderLog;
use crate::faults::{EngineFaults, Faults};
use crate::listener::{CrashSwitch, ServerHandle};

/// How often a frozen engine checks whether the fault was cleared.
const FREEZE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The maximum number of distinct prompts counted.
const MAX_COUNTED_PROMPTS: usize = 100_000;

/// The configuration of an engine.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// The accelerators' memory for models and adapters, in bytes.
    pub memory_bytes: u64,
    /// The maximum number of streams in a batch.
    pub max_streams: usize,
    /// The capacity of the KV cache, in tokens.
    pub kv_tokens: u64,
    /// The maximum number of requests waiting to enter the batch.
    pub max_waiting: usize,
    /// The duration of a step with one stream.
    pub step_time: Duration,
    /// The capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
    /// Whether orders with an outdated fence are rejected.
    pub fenced: bool,
    /// The maximum age of the load figures in reports, such as the number of requests.
    pub report_lag: Duration,
    /// The base URL of the weight store; without one, loads take no time.
    pub weight_store_url: Option<String>,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            memory_bytes: 80 << 30,
            max_streams: 32,
            kv_tokens: 200_000,
            max_waiting: 256,
            step_time: Duration::from_millis(10),
            cache_blocks: 4096,
            fenced: true,
            report_lag: Duration::from_millis(200),
            weight_store_url: None,
        }
    }
}

/// What an engine did so far, including before its crashes.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// The index after the last token sent of each request's response, by request id.
    pub runs: IndexMap<String, u32>,
    /// The number of times each prompt was started.
    pub prompts: IndexMap<String, u32>,
    /// The number of crashes.
    pub crashes: u32,
    /// The accelerators' memory, in bytes.
    pub capacity: u64,
    /// The maximum memory in use so far, in bytes.
    pub peak: u64,
    /// Loads rejected because they did not fit into memory.
    pub overfull: u32,
    /// Orders rejected because of an outdated fence.
    pub fenced: u32,
    /// Orders accepted despite an outdated fence.
    pub stale: u32,
    /// Orders accepted, without duplicates.
    pub orders: u32,
}

/// A sample of the engine's load, as shown in reports.
#[derive(Debug, Clone, Copy, Default)]
struct LoadSample {
    running: usize,
    waiting: usize,
    kv_tokens: u64,
    step_time: Duration,
}

/// The state of an engine process, which a crash discards.
struct EngineState {
    incarnation: u64,
    /// The number of reports so far, which numbers them.
    report_count: u64,
    core: EngineCore,
    orders: OrderLog,
    /// The duration of the last step.
    last_step_time: Duration,
    load: LoadSample,
    sampled_at: Instant,
}

struct Engine {
    config: EngineConfig,
    faults: Faults<EngineFaults>,
    crash_switch: CrashSwitch,
    state: Mutex<EngineState>,
    counts: Mutex<EngineCounts>,
    /// Notified when a request or an unload arrives.
    work_arrived: Notify,
    http: reqwest::Client,
}

/// Starts an engine on an address; with port 0 the system chooses the port.
pub async fn start(listen: SocketAddr, config: EngineConfig) -> io::Result<ServerHandle> {
    let counts = EngineCounts { capacity: config.memory_bytes, ..Default::default() };
    let engine = Arc::new(Engine {
        state: Mutex::new(EngineState::new(&config, first_incarnation())),
        config,
        faults: Faults::default(),
        crash_switch: CrashSwitch::default(),
        counts: Mutex::new(counts),
        work_arrived: Notify::new(),
        http: reqwest::Client::builder().no_proxy().build().map_err(io::Error::other)?,
    });
    let router = http::router(engine.clone());
    let handle = ServerHandle::serve(listen, engine.crash_switch.clone(), router).await?;
    let weak = Arc::downgrade(&engine);
    tokio::spawn(async move {
        while let Some(engine) = weak.upgrade() {
            engine.run_step().await;
        }
    });
    Ok(handle)
}

impl Engine {
    fn state(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().expect("the engine state's lock is not poisoned")
    }

    fn update_counts(&self, update: impl FnOnce(&mut EngineCounts)) {
        update(&mut self.counts.lock().expect("the counts' lock is not poisoned"));
    }

    /// Waits while the engine is frozen.
    async fn wait_while_frozen(&self) {
        while self.faults.lock().frozen {
            tokio::time::sleep(FREEZE_POLL_INTERVAL).await;
        }
    }

    /// Runs one step of the batch, or waits briefly for work.
    async fn run_step(&self) {
        self.wait_while_frozen().await;
        let (base_step_time, crash_pattern, crash) = {
            let mut faults = self.faults.lock();
            let base_step_time =
                faults.step_ms.map_or(self.config.step_time, Duration::from_millis);
            (base_step_time, faults.crash_on.clone(), std::mem::take(&mut faults.crash))
        };
        let (must_crash, step) =
            self.state().begin_step(self, base_step_time, crash_pattern.as_deref());
        if must_crash || crash {
            self.crash();
            return;
        }
        let Some(step) = step else {
            // The load is sampled while idle too.
            let idle =
                tokio::time::sleep(self.config.report_lag.min(Duration::from_millis(20)));
            tokio::select! {
                () = self.work_arrived.notified() => {}
                () = idle => {}
            }
            self.state().end_step(&self.config, Duration::ZERO);
            return;
        };
        tokio::time::sleep(step).await;
        self.wait_while_frozen().await;
        self.state().end_step(&self.config, step);
    }

    /// Discards the state and closes the port for the time set by the fault `restart_ms`.
    fn crash(&self) {
        let outage = Duration::from_millis(self.faults.lock().restart_ms);
        self.crash_switch.crash(outage);
        let mut state = self.state();
        *state = EngineState::new(&self.config, state.incarnation + 1);
        drop(state);
        self.update_counts(|counts| counts.crashes += 1);
    }
}

impl EngineState {
    fn new(config: &EngineConfig, incarnation: u64) -> Self {
        Self {
            incarnation,
            report_count: 0,
            core: EngineCore {
                batch: Batch::new(config.max_streams, config.kv_tokens),
                cache: PrefixCache::new(config.cache_blocks),
                memory: Memory::new(config.memory_bytes),
            },
            orders: OrderLog::default(),
            last_step_time: config.step_time,
            load: LoadSample::default(),
            sampled_at: Instant::now(),
        }
    }

    /// Starts requests; returns whether a prompt contains the pattern that crashes the
    /// engine, and the duration of the step if a request runs.
    fn begin_step(
        &mut self,
        engine: &Engine,
        base_step_time: Duration,
        crash_pattern: Option<&str>,
    ) -> (bool, Option<Duration>) {
        let mut must_crash = false;
        let step = self.core.begin_step(base_step_time, Instant::now(), |request| {
            must_crash |=
                crash_pattern.is_some_and(|pattern| request.prompt.contains(pattern));
            engine.update_counts(|counts| {
                if counts.prompts.len() < MAX_COUNTED_PROMPTS
                    || counts.prompts.contains_key(&request.prompt)
                {
                    *counts.prompts.entry(request.prompt.clone()).or_default() += 1;
                }
            });
        });
        (must_crash, step)
    }

    fn end_step(&mut self, config: &EngineConfig, step: Duration) {
        if !step.is_zero() {
            self.core.batch.step();
            self.last_step_time = step;
        }
        let now = Instant::now();
        self.core.free_unloaded(now);
        let memory = &self.core.memory;
        self.orders.complete_unloads(|name| memory.contains(name));
        if now - self.sampled_at >= config.report_lag {
            self.sampled_at = now;
            self.load = LoadSample {
                running: self.core.batch.running(),
                waiting: self.core.batch.waiting(),
                kv_tokens: self.core.batch.reserved_kv_tokens(),
                step_time: self.last_step_time,
            };
        }
    }
}

/// An incarnation number that is greater than that of any earlier process: the start time
/// in microseconds.
fn first_incarnation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_micros() as u64
}
