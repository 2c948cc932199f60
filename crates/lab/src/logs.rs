//! Measures the CPU time of logging requests, with and without a blocked output.
//!
//! A request that is served without queueing logs three lines: the selected server, the
//! admission and the end of the request. The gate's logger logs them here at a fixed rate,
//! with fields of typical length. The CPU time of the serving thread and of the writer
//! thread is measured separately.

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
const SERVING_THREAD: &str = "serving";

/// Time after the last request in which the writer thread drains its queue.
const DRAIN_TIME: Duration = Duration::from_millis(300);

/// Interval at which a blocked output checks whether it is still blocked.
const BLOCKED_POLL_INTERVAL: Duration = Duration::from_millis(5);

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

/// Where the log lines go; the names of the variants are printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sink {
    /// Discarded without formatting.
    None,
    /// An output that accepts every line immediately.
    Reader,
    /// An output that blocks until the measurement has ended.
    Stopped,
}

/// Measures each kind of output and prints one JSON object per line.
pub fn run(options: &Options) {
    for sink in [Sink::None, Sink::Reader, Sink::Stopped] {
        let output = Output::default();
        output.blocked.store(sink == Sink::Stopped, Ordering::Relaxed);
        let log = match sink {
            Sink::None => Logger::root(Discard, o!()),
            Sink::Reader | Sink::Stopped => logger_to(output.clone(), "vm-1"),
        };
        let time = measure(&log, options);
        // A logger that is dropped waits for its writer thread, which must not stay blocked.
        output.blocked.store(false, Ordering::Relaxed);
        let requests = f64::from(options.rate * options.seconds);
        // The sum over no threads is -0.0; `abs` removes the sign.
        let micros = |seconds: f64| seconds.abs() * 1e6 / requests;
        println!(
            "{{\"sink\":\"{sink:?}\",\"serving_us\":{:.2},\"writing_us\":{:.2},\
             \"slowest_us\":{},\"bytes\":{:.0}}}",
            micros(time.serving_cpu_s),
            micros(time.writing_cpu_s),
            time.slowest.as_micros(),
            output.written_bytes.load(Ordering::Relaxed) as f64 / requests,
        );
    }
}

/// Time that logging took.
struct LoggingTime {
    /// CPU time of the serving thread, in seconds.
    serving_cpu_s: f64,
    /// CPU time of the writer thread, in seconds.
    writing_cpu_s: f64,
    /// Longest time for logging one request.
    slowest: Duration,
}

/// Logs requests at the given rate in a thread of its own.
fn measure(log: &Logger, options: &Options) -> LoggingTime {
    let Options { rate, seconds } = options.clone();
    let log = log.clone();
    let thread =
        thread::Builder::new().name(SERVING_THREAD.to_owned()).spawn(move || {
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
            LoggingTime {
                serving_cpu_s: resource_usage::cpu_seconds(SERVING_THREAD),
                writing_cpu_s: resource_usage::cpu_seconds(WRITER_THREAD),
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

/// Counts the bytes written; `write` waits while `blocked` is set.
#[derive(Debug, Clone, Default)]
struct Output {
    written_bytes: Arc<AtomicU64>,
    blocked: Arc<AtomicBool>,
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        while self.blocked.load(Ordering::Relaxed) {
            thread::sleep(BLOCKED_POLL_INTERVAL);
        }
        self.written_bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
