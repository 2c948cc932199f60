//! Which requests wait, run and have ended, and how long a step takes.

use std::time::Duration;

use indexmap::IndexMap;
use tokio::sync::watch;

/// How many ended requests can still be read.
const ENDED: usize = 2048;

/// How much each further stream lengthens a step.
const STREAM_SLOPE: f64 = 0.02;

/// The time that each token of a prompt takes that is not cached.
const PREFILL: Duration = Duration::from_micros(20);

/// What the stream of a request shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// The number of the next token.
    pub next_token: u32,
    /// Whether the request ended, and how.
    pub finish: Option<FinishReason>,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinishReason {
    /// All tokens were generated.
    Length,
    /// It was cancelled.
    Abort,
}

/// A question to the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GenerationRequest {
    /// The name of the model or adapter.
    pub model: String,
    /// The prompt's text.
    pub prompt: String,
    /// The prompt's length in tokens.
    pub prompt_tokens: u32,
    /// The first token to generate.
    pub start_token: u32,
    /// The number of the token before which generation ends.
    pub end_token: u32,
    /// 0 is the most urgent.
    pub priority: u8,
}

impl GenerationRequest {
    /// The tokens of KV cache that are reserved while the request runs.
    pub fn kv_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.end_token)
    }
}

/// Where a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Waiting,
    Running,
    Ended,
}

/// A request in the engine.
#[derive(Debug)]
pub struct Job {
    /// What is asked.
    pub question: GenerationRequest,
    stage: Stage,
    number: u64,
    progress: watch::Sender<Progress>,
}

/// The requests of one life of an engine.
///
/// At most `streams` requests run, and the sum of their spaces is `space`, which
/// never exceeds `room`.
#[derive(Debug)]
pub struct Batch {
    streams: usize,
    room: u64,
    space: u64,
    next: u64,
    jobs: IndexMap<String, Job>,
}

/// Why a request is not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BatchError {
    /// It would not fit even alone.
    TooLong,
    /// The id is in use.
    DuplicateId,
}

impl Batch {
    /// Creates an empty batch.
    pub fn new(streams: usize, room: u64) -> Self {
        Self { streams, room, space: 0, next: 0, jobs: IndexMap::new() }
    }

    /// Takes a request, which waits until it fits.
    pub fn submit(
        &mut self,
        id: &str,
        question: GenerationRequest,
    ) -> Result<watch::Receiver<Progress>, BatchError> {
        if question.kv_tokens() > self.room {
            return Err(BatchError::TooLong);
        }
        if self.jobs.contains_key(id) {
            return Err(BatchError::DuplicateId);
        }
        let (progress, watched) =
            watch::channel(Progress { next_token: question.start_token, finish: None });
        let number = self.next;
        self.next += 1;
        let job = Job { question, stage: Stage::Waiting, number, progress };
        self.jobs.insert(id.to_owned(), job);
        self.trim();
        Ok(watched)
    }

    /// The progress of a request that is known.
    pub fn watch(
        &self,
        id: &str,
    ) -> Option<(&GenerationRequest, watch::Receiver<Progress>)> {
        let job = self.jobs.get(id)?;
        Some((&job.question, job.progress.subscribe()))
    }

    /// Cancels a request; false if it is not known.
    pub fn cancel(&mut self, id: &str) -> bool {
        let Some(job) = self.jobs.get_mut(id) else { return false };
        if job.stage == Stage::Running {
            self.space -= job.question.kv_tokens();
        }
        if job.stage != Stage::Ended {
            job.stage = Stage::Ended;
            job.progress
                .send_modify(|progress| progress.finish = Some(FinishReason::Abort));
        }
        true
    }

    /// Starts the waiting requests that fit, the most urgent first.
    ///
    /// `start` is told each question that starts.
    pub fn admit(&mut self, mut start: impl FnMut(&GenerationRequest)) {
        let running = self.running();
        let mut free = self.streams.saturating_sub(running);
        let mut waiting: Vec<_> =
            self.jobs.values_mut().filter(|job| job.stage == Stage::Waiting).collect();
        waiting.sort_by_key(|job| (job.question.priority, job.number));
        for job in waiting {
            let space = job.question.kv_tokens();
            if free == 0 || self.space + space > self.room {
                break;
            }
            free -= 1;
            self.space += space;
            job.stage = Stage::Running;
            start(&job.question);
        }
    }

    /// Gives each running request one token; returns how many there were.
    pub fn step(&mut self) -> usize {
        let mut count = 0;
        for job in self.jobs.values_mut().filter(|job| job.stage == Stage::Running) {
            count += 1;
            let until = job.question.end_token;
            let mut ended = false;
            job.progress.send_modify(|progress| {
                progress.next_token = (progress.next_token + 1).min(until);
                ended = progress.next_token == until;
                progress.finish = ended.then_some(FinishReason::Length);
            });
            if ended {
                job.stage = Stage::Ended;
                self.space -= job.question.kv_tokens();
            }
        }
        count
    }

    /// How many requests run.
    pub fn running(&self) -> usize {
        self.count(Stage::Running)
    }

    /// How many requests wait.
    pub fn waiting(&self) -> usize {
        self.count(Stage::Waiting)
    }

    /// The tokens of KV cache that are reserved.
    pub fn reserved_kv_tokens(&self) -> u64 {
        self.space
    }

    /// Whether a request that has not ended uses a model or adapter.
    pub fn uses(&self, name: &str) -> bool {
        let mut jobs = self.jobs.values();
        jobs.any(|job| job.stage != Stage::Ended && job.question.model == name)
    }

    fn count(&self, stage: Stage) -> usize {
        self.jobs.values().filter(|job| job.stage == stage).count()
    }

    /// Forgets the oldest ended requests beyond those that are kept.
    fn trim(&mut self) {
        if self.jobs.len() < 2 * ENDED {
            return;
        }
        let mut surplus = self.count(Stage::Ended).saturating_sub(ENDED);
        self.jobs.retain(|_, job| {
            let drop = surplus > 0 && job.stage == Stage::Ended;
            surplus -= usize::from(drop);
            !drop
        });
    }
}

/// How long a step takes with so many streams and so many tokens of prompts.
pub fn step_time(base: Duration, streams: usize, prefill: u32) -> Duration {
    let crowd = 1.0 + STREAM_SLOPE * streams.saturating_sub(1) as f64;
    base.mul_f64(crowd) + PREFILL * prefill
}
