//! The command line of the stand-ins.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use serde_json::json;

use crate::engine::EngineConfig;
use crate::listener::ServerHandle;
use crate::service::ServiceConfig;
use crate::weights::WeightStoreConfig;
use crate::{engine, platform, service};

/// Runs a stand-in for an external system, for tests and experiments.
///
/// It prints the address that it listens on as one line of JSON and persists nothing.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// The table service, object store, list of VMs and weight store
    #[bpaf(command)]
    Platform {
        #[bpaf(external)]
        listen: SocketAddr,
        /// Loads that the weight store starts per second
        #[bpaf(argument("NUMBER"), fallback(20.0), display_fallback)]
        load_rate: f64,
        /// Concurrent loads that the weight store serves at full speed
        #[bpaf(argument("NUMBER"), fallback(2), display_fallback)]
        parallel_loads: u32,
        /// Full speed of one load, in bytes per second
        #[bpaf(argument("NUMBER"), fallback(400e9), display_fallback)]
        load_speed: f64,
    },
    /// A model engine
    #[bpaf(command)]
    Engine {
        #[bpaf(external)]
        listen: SocketAddr,
        /// Accelerator memory for models and adapters, in bytes
        #[bpaf(argument("BYTES"), fallback(80 << 30), display_fallback)]
        capacity: u64,
        /// Maximum number of streams in a batch
        #[bpaf(argument("NUMBER"), fallback(32), display_fallback)]
        streams: usize,
        /// Capacity of the KV cache, in tokens
        #[bpaf(argument("NUMBER"), fallback(200_000), display_fallback)]
        tokens: u64,
        /// Maximum number of requests waiting to enter the batch
        #[bpaf(argument("NUMBER"), fallback(256), display_fallback)]
        waiting: usize,
        /// Duration of a step with one stream, in milliseconds
        #[bpaf(argument("MS"), fallback(10), display_fallback)]
        step_ms: u64,
        /// Capacity of the prefix cache, in blocks
        #[bpaf(argument("NUMBER"), fallback(4096), display_fallback)]
        blocks: usize,
        /// Maximum age of the load in reports, in milliseconds
        #[bpaf(argument("MS"), fallback(200), display_fallback)]
        lag_ms: u64,
        /// Base URL of the weight store; without it loads take no time
        #[bpaf(argument("URL"))]
        weights: Option<String>,
        /// Accept orders with an outdated fence
        unfenced: bool,
    },
    /// A plain service
    #[bpaf(command)]
    Service {
        #[bpaf(external)]
        listen: SocketAddr,
        /// Name of the service
        #[bpaf(argument("NAME"), fallback("service".to_owned()), display_fallback)]
        name: String,
        /// Duration of a call, in milliseconds
        #[bpaf(argument("MS"), fallback(1), display_fallback)]
        work_ms: u64,
    },
}

fn listen() -> impl bpaf::Parser<SocketAddr> {
    use bpaf::Parser;
    bpaf::long("listen")
        .help("Address to listen on; with port 0 the system chooses the port")
        .argument("ADDR")
        .fallback(SocketAddr::from(([127, 0, 0, 1], 0)))
        .display_fallback()
}

/// Parses the arguments and runs the stand-in until the process ends.
pub fn main() -> ExitCode {
    let command = command().run();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("can't start the runtime: {error}; free memory or threads");
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
            eprintln!("can't listen on the address: {error}; choose a free one");
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
