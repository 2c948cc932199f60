//! What the log lines of a request cost, with a reader and with one that has stopped.
//!
//! A request that is served at once leaves three lines: the server that was picked, its
//! turn, and its end. They are logged here with fields of usual length by the logger of
//! the gate, at a given rate, and the processor time of both threads is told apart: the
//! one that serves, and the one that writes.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use chestnut_gate::logs::{WRITER_THREAD, logger_to};
use slog::{Discard, Logger, info, o};

use crate::resource_usage;

/// The name of the thread that serves, as far as logging is concerned.
const SERVING: &str = "serving";

/// How long the writer may take for what is left at the end.
const REST: Duration = Duration::from_millis(300);

/// How often a stopped reader looks whether it is to go on.
const LOOK: Duration = Duration::from_millis(5);

/// How many requests to log.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// Requests a second; a busy daemon of the users' deployments has 24.
    #[bpaf(argument("N"), guard(is_positive, "must be at least 1"), fallback(1000))]
    pub rate: u32,
    /// For how many seconds.
    #[bpaf(argument("SECONDS"), guard(is_positive, "must be at least 1"), fallback(4))]
    pub seconds: u32,
}

fn is_positive(number: &u32) -> bool {
    *number > 0
}

/// Where the lines go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sink {
    /// Nowhere: nothing is formatted.
    None,
    /// A reader that keeps up.
    Reader,
    /// A reader that has stopped.
    Stopped,
}

/// Measures and prints the cost of the lines.
pub fn run(options: &Options) {
    for sink in [Sink::None, Sink::Reader, Sink::Stopped] {
        let output = Output::default();
        output.stopped.store(sink == Sink::Stopped, Ordering::Relaxed);
        let log = match sink {
            Sink::None => Logger::root(Discard, o!()),
            Sink::Reader | Sink::Stopped => logger_to(output.clone(), "vm-1"),
        };
        let cost = serve(&log, options);
        // Otherwise the logger would wait for its thread for ever.
        output.stopped.store(false, Ordering::Relaxed);
        let requests = f64::from(options.rate * options.seconds);
        // A sum over no thread is minus zero.
        let micros = |seconds: f64| seconds.abs() * 1e6 / requests;
        println!(
            "{{\"sink\":\"{sink:?}\",\"serving_us\":{:.2},\"writing_us\":{:.2},\
             \"slowest_us\":{},\"bytes\":{:.0}}}",
            micros(cost.serving),
            micros(cost.writing),
            cost.slowest.as_micros(),
            output.written.load(Ordering::Relaxed) as f64 / requests,
        );
    }
}

/// What logging took.
struct Cost {
    /// Processor time of the thread that serves, in seconds.
    serving: f64,
    /// Processor time of the thread that writes, in seconds.
    writing: f64,
    /// The longest time that the lines of one request took.
    slowest: Duration,
}

/// Logs at the given rate in a thread of its own.
fn serve(log: &Logger, options: &Options) -> Cost {
    let Options { rate, seconds } = options.clone();
    let log = log.clone();
    let serving = thread::Builder::new().name(SERVING.to_owned()).spawn(move || {
        let pause = Duration::from_secs(1) / rate;
        let start = Instant::now();
        let mut slowest = Duration::ZERO;
        for number in 0..rate * seconds {
            let due = start + pause * number;
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let begin = Instant::now();
            log_request(&log, number);
            slowest = slowest.max(begin.elapsed());
        }
        thread::sleep(REST);
        // Threads that have ended are not counted.
        Cost {
            serving: resource_usage::cpu_seconds(SERVING),
            writing: resource_usage::cpu_seconds(WRITER_THREAD),
            slowest,
        }
    });
    let serving = serving.expect("a thread can be started");
    serving.join().expect("logging does not panic")
}

fn log_request(log: &Logger, number: u32) {
    let id = format!("{number:016x}");
    info!(log, "server picked"; "id" => &id, "server" => "i-5682efe644",
        "target" => "model-a/adapter-7", "cost_ms" => 46u64, "requests" => 9u32,
        "registry_version" => 897u64, "registry_age_ms" => 297u64);
    info!(log, "turn"; "id" => &id, "server" => "i-5682efe644", "turn" => "Send(10)",
        "missed" => false, "waited_ms" => 41u64);
    info!(log, "request ended"; "id" => &id, "end" => "answered", "why" => "200",
        "route" => "r-zy72xa2", "server" => "i-5682efe644", "revision" => 85u64,
        "ms" => 3685u64, "prompt" => 543u32, "output" => 276u32, "events" => 92u32,
        "first_ms" => 169u64, "pause_ms" => 141u64);
}

/// Counts what is written, or takes nothing while it is stopped.
#[derive(Debug, Clone, Default)]
struct Output {
    written: Arc<AtomicU64>,
    stopped: Arc<AtomicBool>,
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        while self.stopped.load(Ordering::Relaxed) {
            thread::sleep(LOOK);
        }
        self.written.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
