//! Measures the processor time of logging requests, with and without a blocked output.
//!
//! A request that is served at once logs three lines: the selected server, its admission and
//! its end. The gate's logger logs them here at a fixed rate, with fields of typical length.
//! The processor time of the serving thread and of the writer thread is measured separately.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use chestnut_gate::logs::{WRITER_THREAD, logger_to};
use slog::{Discard, Logger, info, o};

use crate::resource_usage;

/// Name of the thread that logs the requests.
const SERVING: &str = "serving";

/// Time that the writer thread has at the end to drain its queue.
const DRAIN_TIME: Duration = Duration::from_millis(300);

/// Poll interval of a blocked output.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Sets the rate and the duration of the measurement.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// Requests per second; a busy daemon in the users' deployments has 24.
    #[bpaf(argument("N"), guard(is_positive, "must be at least 1"), fallback(1000))]
    pub rate: u32,
    /// Duration of the measurement for each kind of output.
    #[bpaf(argument("SECONDS"), guard(is_positive, "must be at least 1"), fallback(4))]
    pub seconds: u32,
}

fn is_positive(value: &u32) -> bool {
    *value > 0
}

/// Where the log lines go; the variants are names in the output.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sink {
    /// Discarded without formatting.
    None,
    /// An output that accepts all lines at once.
    Reader,
    /// An output that blocks.
    Stopped,
}

/// Measures each kind of output and prints one JSON object per line.
pub fn run(options: &Options) {
    for sink in [Sink::None, Sink::Reader, Sink::Stopped] {
        let output = Output::default();
        output.stopped.store(sink == Sink::Stopped, Ordering::Relaxed);
        let log = match sink {
            Sink::None => Logger::root(Discard, o!()),
            Sink::Reader | Sink::Stopped => logger_to(output.clone(), "vm-1"),
        };
        let usage = measure(&log, options);
        // A logger that is dropped waits for its writer thread, which must not stay blocked.
        output.stopped.store(false, Ordering::Relaxed);
        let requests = f64::from(options.rate * options.seconds);
        // The sum over no threads is -0.0; `abs` removes the sign.
        let micros = |seconds: f64| seconds.abs() * 1e6 / requests;
        println!(
            "{{\"sink\":\"{sink:?}\",\"serving_us\":{:.2},\"writing_us\":{:.2},\
             \"slowest_us\":{},\"bytes\":{:.0}}}",
            micros(usage.serving),
            micros(usage.writing),
            usage.slowest.as_micros(),
            output.written.load(Ordering::Relaxed) as f64 / requests,
        );
    }
}

/// Resources that logging used.
struct Usage {
    /// Processor time of the serving thread, in seconds.
    serving: f64,
    /// Processor time of the writer thread, in seconds.
    writing: f64,
    /// Longest time for logging one request.
    slowest: Duration,
}

/// Logs requests at the given rate in a thread of its own.
fn measure(log: &Logger, options: &Options) -> Usage {
    let Options { rate, seconds } = options.clone();
    let log = log.clone();
    let thread = thread::Builder::new().name(SERVING.to_owned()).spawn(move || {
        let interval = Duration::from_secs(1) / rate;
        let start = Instant::now();
        let mut slowest = Duration::ZERO;
        for number in 0..rate * seconds {
            let due = start + interval * number;
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let started = Instant::now();
            log_request(&log, number);
            slowest = slowest.max(started.elapsed());
        }
        thread::sleep(DRAIN_TIME);
        // Read before the thread ends: ended threads are not counted.
        Usage {
            serving: resource_usage::cpu_seconds(SERVING),
            writing: resource_usage::cpu_seconds(WRITER_THREAD),
            slowest,
        }
    });
    let thread = thread.expect("a thread can be started");
    thread.join().expect("logging does not panic")
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

/// Counts the bytes written; blocks while it is stopped.
#[derive(Debug, Clone, Default)]
struct Output {
    written: Arc<AtomicU64>,
    stopped: Arc<AtomicBool>,
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        while self.stopped.load(Ordering::Relaxed) {
            thread::sleep(POLL_INTERVAL);
        }
        self.written.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
