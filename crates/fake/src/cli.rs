//! The command line of the stand-ins.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use serde_json::json;

use crate::engine::EngineConfig;
use crate::port::ServerHandle;
use crate::service::ServiceConfig;
use crate::weights::WeightStoreConfig;
use crate::{engine, platform, service};

/// Runs a stand-in of an outside system, for tests and trials.
///
/// It prints the address it listens on as a line of JSON and keeps nothing.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// The table service, object store, list of VMs and weight store.
    #[bpaf(command)]
    Platform {
        #[bpaf(external)]
        listen: SocketAddr,
        /// Loads that the weight store starts in a second.
        #[bpaf(argument("NUMBER"), fallback(20.0), display_fallback)]
        load_rate: f64,
        /// Loads that the weight store serves at full speed at the same time.
        #[bpaf(argument("NUMBER"), fallback(2), display_fallback)]
        parallel_loads: u32,
        /// The full speed of one load, in bytes a second.
        #[bpaf(argument("NUMBER"), fallback(400e9), display_fallback)]
        load_speed: f64,
    },
    /// A model engine.
    #[bpaf(command)]
    Engine {
        #[bpaf(external)]
        listen: SocketAddr,
        /// The accelerators' memory for models and adapters, in bytes.
        #[bpaf(argument("BYTES"), fallback(80 << 30), display_fallback)]
        capacity: u64,
        /// Streams in a batch.
        #[bpaf(argument("NUMBER"), fallback(32), display_fallback)]
        streams: usize,
        /// Tokens that the KV cache holds.
        #[bpaf(argument("NUMBER"), fallback(200_000), display_fallback)]
        tokens: u64,
        /// Requests that wait for a place in the batch.
        #[bpaf(argument("NUMBER"), fallback(256), display_fallback)]
        waiting: usize,
        /// The time of a step with one stream, in milliseconds.
        #[bpaf(argument("MS"), fallback(10), display_fallback)]
        step_ms: u64,
        /// Blocks of prompts that are cached.
        #[bpaf(argument("NUMBER"), fallback(4096), display_fallback)]
        blocks: usize,
        /// How old the load in reports may be, in milliseconds.
        #[bpaf(argument("MS"), fallback(200), display_fallback)]
        lag_ms: u64,
        /// The base URL of the weight store.
        #[bpaf(argument("URL"))]
        weights: Option<String>,
        /// Obey orders that carry an old fence.
        unfenced: bool,
    },
    /// A plain service.
    #[bpaf(command)]
    Service {
        #[bpaf(external)]
        listen: SocketAddr,
        /// The service's name.
        #[bpaf(argument("NAME"), fallback("service".to_owned()), display_fallback)]
        name: String,
        /// How long a call takes, in milliseconds.
        #[bpaf(argument("MS"), fallback(1), display_fallback)]
        work_ms: u64,
    },
}

fn listen() -> impl bpaf::Parser<SocketAddr> {
    use bpaf::Parser;
    bpaf::long("listen")
        .help("The address to listen on; port 0 lets the system choose")
        .argument("ADDR")
        .fallback(SocketAddr::from(([127, 0, 0, 1], 0)))
        .display_fallback()
}

/// Runs the program.
pub fn main() -> ExitCode {
    let command = command().run();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("the runtime can't start: {error}; free memory or threads");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(start(command)) {
        Ok(handle) => {
            println!("{}", json!({"address": handle.address}));
            runtime.block_on(handle.wait());
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("the address can't be bound: {error}; choose a free one");
            ExitCode::FAILURE
        }
    }
}

async fn start(command: Command) -> std::io::Result<ServerHandle> {
    match command {
        Command::Platform { listen, load_rate, parallel_loads, load_speed } => {
            let weight_store = WeightStoreConfig {
                loads_per_second: load_rate,
                parallel_loads,
                bytes_per_second: load_speed,
            };
            platform::start(listen, weight_store).await
        }
        Command::Engine {
            listen,
            capacity,
            streams,
            tokens,
            waiting,
            step_ms,
            blocks,
            lag_ms,
            weights,
            unfenced,
        } => {
            let config = EngineConfig {
                memory_bytes: capacity,
                max_streams: streams,
                kv_tokens: tokens,
                max_waiting: waiting,
                step_time: Duration::from_millis(step_ms),
                cache_blocks: blocks,
                fenced: !unfenced,
                report_lag: Duration::from_millis(lag_ms),
                weight_store_url: weights,
            };
            engine::start(listen, config).await
        }
        Command::Service { listen, name, work_ms } => {
            let service_time = Duration::from_millis(work_ms);
            service::start(listen, ServiceConfig { name, service_time }).await
        }
    }
}
