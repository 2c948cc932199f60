//! Continuous batching: the waiting, running and finished requests, and the step time.

use std::time::Duration;

use indexmap::IndexMap;
use tokio::sync::watch;

/// The number of finished requests whose response can still be read.
const MAX_FINISHED: usize = 2048;

/// The relative increase of the step time per stream beyond the first.
const STEP_GROWTH_PER_STREAM: f64 = 0.02;

/// The prefill time of each token that is not cached.
const PREFILL_TIME_PER_TOKEN: Duration = Duration::from_micros(20);

/// The progress of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// The index of the next token to generate.
    pub next_token: u32,
    /// How the request finished; `None` before that.
    pub finish: Option<FinishReason>,
}

/// How a request finished.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinishReason {
    /// All tokens were generated.
    Length,
    /// It was cancelled.
    Abort,
}

/// A request to the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GenerationRequest {
    /// The name of the model or adapter.
    pub model: String,
    /// The prompt's text.
    pub prompt: String,
    /// The length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// The index of the first token to generate.
    pub start_token: u32,
    /// The index after the last token to generate.
    pub end_token: u32,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
}

impl GenerationRequest {
    /// The tokens of KV cache reserved while the request runs.
    pub fn kv_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.end_token)
    }
}

/// The state of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum JobState {
    Waiting,
    Running,
    Finished,
}

/// A request in the engine.
#[derive(Debug)]
pub struct Job {
    /// The request as submitted.
    pub request: GenerationRequest,
    state: JobState,
    /// The order of arrival.
    sequence: u64,
    progress: watch::Sender<Progress>,
}

/// The requests of an engine.
///
/// At most `max_streams` requests run. `reserved` is the sum of the KV cache tokens that
/// they reserve and never exceeds `capacity`.
#[derive(Debug)]
pub struct Batch {
    max_streams: usize,
    capacity: u64,
    reserved: u64,
    next_sequence: u64,
    jobs: IndexMap<String, Job>,
}

/// Why a request is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BatchError {
    /// It exceeds the capacity of the KV cache.
    TooLong,
    /// A request with this id is retained.
    DuplicateId,
}

impl Batch {
    /// Creates an empty batch. `capacity` is that of the KV cache, in tokens.
    pub fn new(max_streams: usize, capacity: u64) -> Self {
        Self {
            max_streams,
            capacity,
            reserved: 0,
            next_sequence: 0,
            jobs: IndexMap::new(),
        }
    }

    /// Submits a request, which waits until it fits.
    pub fn submit(
        &mut self,
        id: &str,
        request: GenerationRequest,
    ) -> Result<watch::Receiver<Progress>, BatchError> {
        if request.kv_tokens() > self.capacity {
            return Err(BatchError::TooLong);
        }
        if self.jobs.contains_key(id) {
            return Err(BatchError::DuplicateId);
        }
        let (progress, receiver) =
            watch::channel(Progress { next_token: request.start_token, finish: None });
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let job = Job { request, state: JobState::Waiting, sequence, progress };
        self.jobs.insert(id.to_owned(), job);
        self.evict_finished();
        Ok(receiver)
    }

    /// A retained request and its progress.
    pub fn subscribe(
        &self,
        id: &str,
    ) -> Option<(&GenerationRequest, watch::Receiver<Progress>)> {
        let job = self.jobs.get(id)?;
        Some((&job.request, job.progress.subscribe()))
    }

    /// Cancels a request unless it finished; returns false if it is not retained.
    pub fn cancel(&mut self, id: &str) -> bool {
        let Some(job) = self.jobs.get_mut(id) else { return false };
        if job.state == JobState::Running {
            self.reserved -= job.request.kv_tokens();
        }
        if job.state != JobState::Finished {
            job.state = JobState::Finished;
            job.progress
                .send_modify(|progress| progress.finish = Some(FinishReason::Abort));
        }
        true
    }

    /// Starts waiting requests by priority and arrival, up to the first that does not
    /// fit.
    ///
    /// `on_start` is called for each request that starts.
    pub fn admit(&mut self, mut on_start: impl FnMut(&GenerationRequest)) {
        let running = self.running();
        let mut free_streams = self.max_streams.saturating_sub(running);
        let mut waiting: Vec<_> =
            self.jobs.values_mut().filter(|job| job.state == JobState::Waiting).collect();
        waiting.sort_by_key(|job| (job.request.priority, job.sequence));
        for job in waiting {
            let tokens = job.request.kv_tokens();
            if free_streams == 0 || self.reserved + tokens > self.capacity {
                break;
            }
            free_streams -= 1;
            self.reserved += tokens;
            job.state = JobState::Running;
            on_start(&job.request);
        }
    }

    /// Generates one token for each running request; returns their number.
    pub fn step(&mut self) -> usize {
        let mut count = 0;
        for job in self.jobs.values_mut().filter(|job| job.state == JobState::Running) {
            count += 1;
            let end_token = job.request.end_token;
            let mut is_finished = false;
            job.progress.send_modify(|progress| {
                progress.next_token = (progress.next_token + 1).min(end_token);
                is_finished = progress.next_token == end_token;
                progress.finish = is_finished.then_some(FinishReason::Length);
            });
            if is_finished {
                job.state = JobState::Finished;
                self.reserved -= job.request.kv_tokens();
            }
        }
        count
    }

    /// The number of running requests.
    pub fn running(&self) -> usize {
        self.count(JobState::Running)
    }

    /// The number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.count(JobState::Waiting)
    }

    /// The KV cache tokens reserved by the running requests.
    pub fn reserved_kv_tokens(&self) -> u64 {
        self.reserved
    }

    /// Whether a waiting or running request uses a model or adapter.
    pub fn uses(&self, name: &str) -> bool {
        let mut jobs = self.jobs.values();
        jobs.any(|job| job.state != JobState::Finished && job.request.model == name)
    }

    fn count(&self, state: JobState) -> usize {
        self.jobs.values().filter(|job| job.state == state).count()
    }

    /// Evicts the oldest finished requests beyond `MAX_FINISHED`. It does so only when
    /// many requests are retained, so that its cost is amortised.
    fn evict_finished(&mut self) {
        if self.jobs.len() < 2 * MAX_FINISHED {
            return;
        }
        let mut surplus = self.count(JobState::Finished).saturating_sub(MAX_FINISHED);
        self.jobs.retain(|_, job| {
            let evict = surplus > 0 && job.state == JobState::Finished;
            surplus -= usize::from(evict);
            !evict
        });
    }
}

/// The duration of a step with `streams` running requests and `prefill_tokens` to
/// prefill; `base` is that of a step with one stream and no prefill.
pub fn step_time(base: Duration, streams: usize, prefill_tokens: u32) -> Duration {
    let stream_factor = 1.0 + STEP_GROWTH_PER_STREAM * streams.saturating_sub(1) as f64;
    base.mul_f64(stream_factor) + PREFILL_TIME_PER_TOKEN * prefill_tokens
}
