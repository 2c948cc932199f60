//! A model engine that batches continuously.
//!
//! A request is taken by [`http`], waits and runs in the [`batch`], uses the
//! prefix [`cache`], and its [`text`] depends on the question alone; a [`feed`]
//! brings the answer to its reader. [`orders`] change what is in [`memory`].
//! Batch, cache and memory together are the [`core`], on which stand-ins with other
//! protocols are built too.

pub mod batch;
pub mod cache;
pub mod core;
mod feed;
mod http;
pub mod memory;
mod orders;
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
use self::orders::OrderBook;
use crate::faults::{EngineFaults, Faults};
use crate::port::{Lives, ServerHandle};

/// How often a frozen engine looks whether it is thawed.
const THAW: Duration = Duration::from_millis(10);

/// How many different prompts are counted.
const PROMPTS: usize = 100_000;

/// What an engine is like.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// The accelerators' memory for models and adapters, in bytes.
    pub memory_bytes: u64,
    /// Streams in a batch.
    pub max_streams: usize,
    /// Tokens that the KV cache holds.
    pub kv_tokens: u64,
    /// Requests that wait for a place in the batch.
    pub max_waiting: usize,
    /// The time of a step with one stream.
    pub step_time: Duration,
    /// Blocks of prompts that are cached.
    pub cache_blocks: usize,
    /// Whether orders with an old fence are refused.
    pub fenced: bool,
    /// How old the load in reports may be.
    pub report_lag: Duration,
    /// The base URL of the weight store; loads take no time without one.
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

/// What an engine did so far, over all its lives.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// The tokens that each request generated, by request id.
    pub runs: IndexMap<String, u32>,
    /// How often each prompt was started.
    pub prompts: IndexMap<String, u32>,
    /// How often the engine crashed.
    pub crashes: u32,
    /// The accelerators' memory, in bytes.
    pub capacity: u64,
    /// The greatest number of bytes that were ever held.
    pub peak: u64,
    /// Loads that were refused because they did not fit.
    pub overfull: u32,
    /// Orders that were refused because of an old fence.
    pub fenced: u32,
    /// Orders with an old fence that were obeyed.
    pub stale: u32,
    /// Orders that were taken up, copies not counted.
    pub orders: u32,
}

/// The load of an engine as it was a while ago.
#[derive(Debug, Clone, Copy, Default)]
struct Load {
    running: usize,
    waiting: usize,
    tokens: u64,
    step: Duration,
}

/// One life of an engine.
struct Life {
    incarnation: u64,
    reports: u64,
    core: EngineCore,
    orders: OrderBook,
    /// The length of the last step.
    step: Duration,
    load: Load,
    sampled: Instant,
}

struct Engine {
    config: EngineConfig,
    faults: Faults<EngineFaults>,
    lives: Lives,
    life: Mutex<Life>,
    counts: Mutex<EngineCounts>,
    work: Notify,
    http: reqwest::Client,
}

/// Starts an engine.
pub async fn start(listen: SocketAddr, config: EngineConfig) -> io::Result<ServerHandle> {
    let counts = EngineCounts { capacity: config.memory_bytes, ..Default::default() };
    let engine = Arc::new(Engine {
        life: Mutex::new(Life::new(&config, first_incarnation())),
        config,
        faults: Faults::default(),
        lives: Lives::default(),
        counts: Mutex::new(counts),
        work: Notify::new(),
        http: reqwest::Client::builder().no_proxy().build().map_err(io::Error::other)?,
    });
    let router = http::router(engine.clone());
    let handle = ServerHandle::serve(listen, engine.lives.clone(), router).await?;
    let weak = Arc::downgrade(&engine);
    tokio::spawn(async move {
        while let Some(engine) = weak.upgrade() {
            engine.run_step().await;
        }
    });
    Ok(handle)
}

impl Engine {
    fn life(&self) -> MutexGuard<'_, Life> {
        self.life.lock().expect("no holder of the engine's life panics")
    }

    fn count(&self, change: impl FnOnce(&mut EngineCounts)) {
        change(&mut self.counts.lock().expect("no holder of the counts panics"));
    }

    /// Waits while the engine is frozen.
    async fn thawed(&self) {
        while self.faults.lock().frozen {
            tokio::time::sleep(THAW).await;
        }
    }

    /// Runs one step of the batch, or waits a moment for work.
    async fn run_step(&self) {
        self.thawed().await;
        let (base, mark, crash) = {
            let mut faults = self.faults.lock();
            let base =
                faults.step_ms.map_or(self.config.step_time, Duration::from_millis);
            (base, faults.crash_on.clone(), std::mem::take(&mut faults.crash))
        };
        let (marked, step) = self.life().begin_step(self, base, mark.as_deref());
        if marked || crash {
            self.crash();
            return;
        }
        let Some(step) = step else {
            // The load is sampled also while nothing runs.
            let nap =
                tokio::time::sleep(self.config.report_lag.min(Duration::from_millis(20)));
            tokio::select! {
                () = self.work.notified() => {}
                () = nap => {}
            }
            self.life().end_step(&self.config, Duration::ZERO);
            return;
        };
        tokio::time::sleep(step).await;
        self.thawed().await;
        self.life().end_step(&self.config, step);
    }

    /// Loses everything and closes the port for a while.
    fn crash(&self) {
        let outage = Duration::from_millis(self.faults.lock().restart_ms);
        self.lives.crash(outage);
        let mut life = self.life();
        *life = Life::new(&self.config, life.incarnation + 1);
        drop(life);
        self.count(|counts| counts.crashes += 1);
    }
}

impl Life {
    fn new(config: &EngineConfig, incarnation: u64) -> Self {
        Self {
            incarnation,
            reports: 0,
            core: EngineCore {
                batch: Batch::new(config.max_streams, config.kv_tokens),
                cache: PrefixCache::new(config.cache_blocks),
                memory: Memory::new(config.memory_bytes),
            },
            orders: OrderBook::default(),
            step: config.step_time,
            load: Load::default(),
            sampled: Instant::now(),
        }
    }

    /// Starts requests; returns whether one has the mark that crashes the engine,
    /// and the time of the step unless there is nothing to do.
    fn begin_step(
        &mut self,
        engine: &Engine,
        base: Duration,
        mark: Option<&str>,
    ) -> (bool, Option<Duration>) {
        let mut marked = false;
        let step = self.core.begin_step(base, Instant::now(), |question| {
            marked |= mark.is_some_and(|mark| question.prompt.contains(mark));
            engine.count(|counts| {
                if counts.prompts.len() < PROMPTS
                    || counts.prompts.contains_key(&question.prompt)
                {
                    *counts.prompts.entry(question.prompt.clone()).or_default() += 1;
                }
            });
        });
        (marked, step)
    }

    fn end_step(&mut self, config: &EngineConfig, step: Duration) {
        if !step.is_zero() {
            self.core.batch.step();
            self.step = step;
        }
        let now = Instant::now();
        self.core.free_unloaded(now);
        let memory = &self.core.memory;
        self.orders.finish_unloads(|name| memory.contains(name));
        if now - self.sampled >= config.report_lag {
            self.sampled = now;
            self.load = Load {
                running: self.core.batch.running(),
                waiting: self.core.batch.waiting(),
                tokens: self.core.batch.reserved_kv_tokens(),
                step: self.step,
            };
        }
    }
}

/// A number that no earlier process of this engine had.
fn first_incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_micros() as u64
}
