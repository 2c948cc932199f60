//! An engine as far as its timing goes, and names for tests.

#![allow(dead_code)]

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use chestnut_base::{AdapterName, ModelName};
use chestnut_edge::{Engine, Model, TargetModel};
use indexmap::IndexMap;

/// The time of a step beside what is read in it.
const STEP: f64 = 10.0;

/// Prompt tokens that are read in a millisecond.
const RATE: f64 = 20.0;

/// Prompt tokens that are read in one step, at most.
const CHUNK: u32 = 4096;

/// Steps that one event of a stream takes.
const EVENT_STEPS: u32 = 3;

/// A prompt at the engine.
#[derive(Debug, Clone, Copy)]
struct Prompt {
    id: usize,
    left: u32,
    events: u32,
}

/// A stream that runs.
#[derive(Debug, Clone, Copy)]
struct Stream {
    id: usize,
    steps: u32,
    events: u32,
    /// When its last event was, in milliseconds.
    at: f64,
}

/// What became of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Answer {
    /// When its first event was, in milliseconds.
    pub first: Option<f64>,
    /// The longest pause between its events, in milliseconds.
    pub pause: f64,
    /// Whether it ended.
    pub whole: bool,
}

/// An engine that reads waiting prompts between the tokens of its streams.
#[derive(Debug)]
pub struct TimedEngine {
    /// The time, in milliseconds.
    pub now: f64,
    /// The time of a step beside what is read in it, in milliseconds.
    pub step: f64,
    /// The steps that one event of a stream takes.
    pub event_steps: u32,
    prompts: VecDeque<Prompt>,
    streams: Vec<Stream>,
    /// What became of the requests, by their numbers.
    pub answers: IndexMap<usize, Answer>,
}

impl Default for TimedEngine {
    fn default() -> Self {
        Self::new(STEP, EVENT_STEPS)
    }
}

impl TimedEngine {
    /// An engine with steps of so many milliseconds and events of so many steps.
    pub fn new(step: f64, event_steps: u32) -> Self {
        Self {
            now: 0.0,
            step,
            event_steps,
            prompts: VecDeque::new(),
            streams: Vec::new(),
            answers: IndexMap::new(),
        }
    }

    /// Takes a request with a prompt of so many tokens and so many events.
    pub fn take(&mut self, id: usize, tokens: u32, events: u32) {
        self.answers.insert(id, Answer::default());
        self.prompts.push_back(Prompt { id, left: tokens, events });
    }

    /// The requests that run or wait.
    pub fn load(&self) -> usize {
        self.prompts.len() + self.streams.len()
    }

    /// Runs one step; returns the requests whose first event it brought.
    pub fn step(&mut self) -> Vec<usize> {
        let mut budget = CHUNK;
        let mut begun = Vec::new();
        while budget > 0
            && let Some(prompt) = self.prompts.front_mut()
        {
            let read = prompt.left.min(budget);
            prompt.left -= read;
            budget -= read;
            if prompt.left > 0 {
                break;
            }
            begun.extend(self.prompts.pop_front());
        }
        self.now += self.step + f64::from(CHUNK - budget) / RATE;
        self.advance();
        for prompt in &begun {
            let Prompt { id, events, .. } = *prompt;
            self.answers[&id].first = Some(self.now);
            self.streams.push(Stream { id, steps: 0, events, at: self.now });
        }
        begun.into_iter().map(|prompt| prompt.id).collect()
    }

    fn advance(&mut self) {
        for stream in &mut self.streams {
            stream.steps += 1;
            if stream.steps % self.event_steps == 0 {
                let answer = &mut self.answers[&stream.id];
                answer.pause = answer.pause.max(self.now - stream.at);
                stream.at = self.now;
                stream.events = stream.events.saturating_sub(1);
                answer.whole = stream.events == 0;
            }
        }
        self.streams.retain(|stream| stream.events > 0);
    }
}

/// A model's name.
pub fn model(name: &str) -> ModelName {
    ModelName::try_from(name).expect("a valid name")
}

/// An adapter's name.
pub fn adapter(name: &str) -> AdapterName {
    AdapterName::try_from(name).expect("a valid name")
}

/// A model without an adapter.
pub fn base(name: &str) -> TargetModel {
    TargetModel { model: model(name), adapter: None }
}

/// A model with an adapter.
pub fn with_adapter(name: &str, number: usize) -> TargetModel {
    let adapter = Some(adapter(&format!("a{number}")));
    TargetModel { model: model(name), adapter }
}

/// A point in time that is some milliseconds after another.
pub fn at(start: Instant, millis: f64) -> Instant {
    start + Duration::from_secs_f64(millis / 1000.0)
}

/// An engine of 200 GB with models of these sizes, in gigabytes.
pub fn engine(sizes: &[(&str, f64)]) -> Engine {
    let declared = |(name, size): &(&str, f64)| {
        let model = Model {
            weights_mb: size * 1000.0,
            adapter_count: 8,
            adapter_mb: 66.0,
            store_load_time: Duration::from_millis(1200),
            memory_load_time: Duration::from_millis(600),
            disk_load_time: Duration::from_millis(780),
        };
        (self::model(name), model)
    };
    Engine {
        slots: 64,
        kv_tokens: 150_000,
        event_tokens: EVENT_STEPS,
        memory_mb: 200_000.0,
        adapter_slots: 8,
        loads_per_s: 1.1,
        models: sizes.iter().map(declared).collect(),
    }
}
