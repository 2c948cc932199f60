//! The daemon's settings, in JSON with comments.

use std::fmt::{self, Display, Formatter};
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use chestnut_account::{RevocationBound, Tolerance};
use chestnut_base::{DomainName, VmName};
use chestnut_edge::Engine;
use chestnut_intake::ProcessLimits;
use chestnut_member::ONE_CORE_WEIGHT;
use chestnut_pool::{LoadBound, ServiceProfile};
use serde::Deserialize;
use serde_with::{DurationMilliSeconds, DurationSecondsWithFrac, serde_as};

/// Why settings are rejected.
#[derive(Debug)]
pub enum SettingsError {
    /// The file can't be read.
    Read(std::io::Error),
    /// The file isn't valid JSON with comments.
    Syntax(String),
    /// A field is missing or has the wrong type.
    Field(String),
    /// A field's value is out of range; holds the field and the remedy.
    Value(&'static str, &'static str),
}

impl Display for SettingsError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(error) => {
                write!(f, "the settings can't be read ({error}); name an existing file")
            }
            Self::Syntax(reason) => {
                write!(
                    f,
                    "the settings are not valid JSON with comments ({reason}); correct them"
                )
            }
            Self::Field(reason) => {
                write!(f, "{reason}; see docs/CONFIGURATION.md for the fields")
            }
            Self::Value(field, remedy) => write!(f, "`{field}` can't be used; {remedy}"),
        }
    }
}

impl std::error::Error for SettingsError {}

/// The largest number of cores that is accepted.
const MAX_CORES: f64 = 1024.0;

/// The least memory that is accepted, in MB.
const MIN_MEMORY_MB: f64 = 32.0;

/// The fewest descriptors that are accepted; 200 of them are for files.
const MIN_DESCRIPTORS: u64 = 300;

fn whole_core() -> f64 {
    1.0
}

fn two_seconds() -> Duration {
    Duration::from_secs(2)
}

fn ten_seconds() -> Duration {
    Duration::from_secs(10)
}

fn no_overshoot() -> f64 {
    1.0
}

/// The validated settings of one daemon.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Settings {
    /// The VM that the daemon runs on.
    pub vm: VmName,
    /// The VM's failure domain.
    pub domain: DomainName,
    /// The VM's address, used for traffic between daemons.
    pub ip: IpAddr,
    /// Where callers send requests.
    #[serde(rename = "callers")]
    pub caller_addr: SocketAddr,
    /// Where the platform checks whether the daemon is ready.
    #[serde(rename = "readiness")]
    pub readiness_addr: SocketAddr,
    /// Where callers look up the addresses of daemons.
    #[serde(rename = "directory")]
    pub directory_addr: SocketAddr,
    /// Where metrics and the daemon's state are served; `None` turns them off.
    #[serde(rename = "metrics")]
    #[serde(default)]
    pub metrics_addr: Option<SocketAddr>,
    /// Ports for traffic between daemons: the first for datagrams and for requests that are
    /// forwarded, the last for table changes.
    #[serde(rename = "ports")]
    pub peer_ports: (u16, u16),
    /// The address of the platform's store.
    #[serde(rename = "store")]
    pub store_addr: SocketAddr,
    /// The daemon's share of CPU time, in cores.
    #[serde(default = "whole_core")]
    pub cores: f64,
    /// The memory of the process in MB (10⁶ bytes), with what the kernel has received for it;
    /// `None` if it is unknown.
    #[serde(default)]
    pub memory_mb: Option<f64>,
    /// The descriptors that the process may open; `None` for the limit of the process.
    #[serde(default)]
    pub descriptors: Option<u64>,
    /// Durations and bounds that the operators set; reloaded while the daemon runs.
    pub bounds: Bounds,
    /// How the daemon decides where there are several ways.
    #[serde(default)]
    pub policy: Policy,
    /// The file that the settings were read from; `None` if they were not read from a
    /// file.
    #[serde(skip)]
    pub path: Option<PathBuf>,
}

/// How a daemon decides where there are several ways; the defaults fit all deployments that
/// were measured.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct Policy {
    /// What decides between requests of accounts with the same priority.
    pub priority: PriorityOrder,
    /// Whether the speed of each runner is learned.
    pub server_speeds: bool,
    /// Whether a request waits in the queues of several runners at the same time.
    pub late_binding: bool,
    /// Whether a request that is not expected to start before its caller leaves is refused
    /// at once.
    pub early_refusal: bool,
    /// Whether the accounts of requests of the same priority get equal shares of a runner.
    pub account_shares: bool,
    /// Whether patient streams give way to more urgent requests.
    pub yielding: bool,
    /// Whether a server that has just started or recovered gets requests at the pace at
    /// which it answers.
    pub server_pace: bool,
}

impl Policy {
    /// The policy for a service with this profile.
    pub fn for_service(self, profile: ServiceProfile) -> Self {
        if !profile.mixed_objectives {
            return Self { priority: self.priority, ..Self::default() };
        }
        Self { yielding: self.yielding && profile.has_patient_streams(), ..self }
    }

    /// Whether holders decide by the class of a request, so that it is sent to them.
    pub fn uses_class(self) -> bool {
        self.late_binding || self.early_refusal || self.account_shares || self.yielding
    }
}

/// What decides between requests of client accounts that declare a priority.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PriorityOrder {
    /// The account's priority alone.
    Account,
    /// The account's priority, and between equal ones that of the route.
    #[default]
    AccountThenRoute,
}

impl PriorityOrder {
    /// The rank of a request in queues; 0 is the first.
    pub fn rank(self, account: Option<u8>, route: u8) -> u8 {
        match (self, account) {
            (_, None) => route,
            (Self::Account, Some(account)) => account,
            (Self::AccountThenRoute, Some(account)) => account
                .saturating_mul(ROUTE_PRIORITIES)
                .saturating_add(route.min(ROUTE_PRIORITIES - 1)),
        }
    }
}

/// The number of priorities of routes that are told apart within one of an account; with
/// three of accounts, engines can tell them all apart.
const ROUTE_PRIORITIES: u8 = 3;

/// Durations and bounds that the operators set.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Bounds {
    /// How long the process may take to exit after SIGTERM.
    #[serde(rename = "stop_s")]
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub stop: Duration,
    /// The longest that a caller may cache a response of the directory.
    #[serde(rename = "directory_s")]
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub directory: Duration,
    /// Retries allowed per request of a service.
    pub retry_ratio: f64,
    /// Retries of a service allowed per window beyond the ratio, in all daemons together.
    pub retry_slack: f64,
    /// The window in which requests and retries are counted.
    #[serde(rename = "retry_window_s")]
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub retry_window: Duration,
    /// Whether engines refuse orders with an older fence.
    #[serde(default)]
    pub fenced: bool,
    /// The minimum time between orders of two holders to one engine.
    #[serde(rename = "turn_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub turn: Duration,
    /// The longest time from the store's commit of declarations until they are in force.
    #[serde(rename = "apply_ms", default = "two_seconds")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub apply: Duration,
    /// How long a server may still be sent requests after the store has committed that it
    /// is leaving.
    #[serde(rename = "leave_ms", default = "two_seconds")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub leave: Duration,
    /// The window in which loads from the weight store are counted.
    #[serde(rename = "load_window_s")]
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub load_window: Duration,
    /// The largest ratio of the loads in a window to those at the declared rate; at least 1.
    #[serde(default = "no_overshoot")]
    pub load_overshoot: f64,
    /// How long after its removal a key may still be served; `None` if a daemon serves keys
    /// by the declarations that it has, however old they are.
    #[serde(rename = "revoke_ms", default)]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub revoke: Option<Duration>,
    /// The window in which the use of accounts is counted.
    #[serde(rename = "quota_window_s", default = "ten_seconds")]
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub quota_window: Duration,
    /// The ratio beyond an account's limit that a window may reach.
    #[serde(default)]
    pub quota_overshoot: f64,
    /// What a window may reach beyond that, in tokens.
    #[serde(default)]
    pub quota_slack: f64,
}

impl Bounds {
    /// How long after its removal a key may still be served; `None` if there is no bound.
    pub fn revocation(&self) -> Option<RevocationBound> {
        self.revoke.map(RevocationBound)
    }

    /// How far the use of an account may exceed its limit.
    pub fn tolerance(&self) -> Tolerance {
        Tolerance {
            window: self.quota_window,
            overshoot: self.quota_overshoot,
            slack: self.quota_slack,
        }
    }

    /// The bound on an engine's loads from the weight store.
    pub fn load_bound(&self, engine: &Engine) -> LoadBound {
        LoadBound {
            rate: engine.loads_per_s,
            window: self.load_window,
            overshoot: self.load_overshoot,
        }
    }
}

impl Settings {
    /// Reads and validates a settings file.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(SettingsError::Read)?;
        let settings = Self::parse(&text)?;
        Ok(Self { path: Some(path.to_owned()), ..settings })
    }

    /// Parses and validates settings; unknown fields are ignored.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let options = jsonc_parser::ParseOptions::default();
        let value =
            jsonc_parser::parse_to_serde_value::<serde_json::Value>(text, &options);
        let value = value.map_err(|error| SettingsError::Syntax(error.to_string()))?;
        let settings: Self = serde_json::from_value(value)
            .map_err(|error| SettingsError::Field(error.to_string()))?;
        settings.validate()?;
        Ok(settings)
    }

    /// Where datagrams of other daemons are received, and requests to forward.
    pub fn peer_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.peer_ports.0)
    }

    /// Where other daemons fetch changes of the table replicas.
    pub fn table_changes_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.peer_ports.1)
    }

    /// What the process may use.
    pub fn process_limits(&self) -> ProcessLimits {
        ProcessLimits::new(self.memory_mb, self.descriptors)
    }

    /// The daemon's weight in the assignment of claims, proportional to its cores.
    pub fn weight(&self) -> u32 {
        (self.cores * f64::from(ONE_CORE_WEIGHT)).round().max(1.0) as u32
    }

    fn validate(&self) -> Result<(), SettingsError> {
        let (first, last) = self.peer_ports;
        if first == 0 || last <= first {
            return Err(SettingsError::Value(
                "ports",
                "give a first port and a higher last port",
            ));
        }
        if !(self.cores > 0.0 && self.cores <= MAX_CORES) {
            return Err(SettingsError::Value("cores", "give a number of cores above 0"));
        }
        if !self.memory_mb.is_none_or(|memory| memory >= MIN_MEMORY_MB) {
            return Err(SettingsError::Value("memory_mb", "give 32 or more"));
        }
        if self.descriptors.is_some_and(|count| count < MIN_DESCRIPTORS) {
            return Err(SettingsError::Value("descriptors", "give 300 or more"));
        }
        if !(0.0..=1.0).contains(&self.bounds.retry_ratio) {
            return Err(SettingsError::Value(
                "bounds.retry_ratio",
                "give a number between 0 and 1",
            ));
        }
        if !(self.bounds.load_overshoot >= 1.0 && self.bounds.load_overshoot.is_finite())
        {
            return Err(SettingsError::Value(
                "bounds.load_overshoot",
                "give a number of 1 or more",
            ));
        }
        let is_too_short = |time: Duration| time < Duration::from_millis(500);
        if is_too_short(self.bounds.apply) {
            return Err(SettingsError::Value("bounds.apply_ms", "give 500 or more"));
        }
        if is_too_short(self.bounds.leave) {
            return Err(SettingsError::Value("bounds.leave_ms", "give 500 or more"));
        }
        if self.bounds.revoke.is_some_and(is_too_short) {
            return Err(SettingsError::Value("bounds.revoke_ms", "give 500 or more"));
        }
        if self.bounds.quota_window.is_zero() {
            return Err(SettingsError::Value(
                "bounds.quota_window_s",
                "give a number above 0",
            ));
        }
        let is_valid = |value: f64| value >= 0.0 && value.is_finite();
        if !is_valid(self.bounds.quota_overshoot) {
            return Err(SettingsError::Value(
                "bounds.quota_overshoot",
                "give a number of 0 or more",
            ));
        }
        if !is_valid(self.bounds.quota_slack) {
            return Err(SettingsError::Value(
                "bounds.quota_slack",
                "give a number of 0 or more",
            ));
        }
        if self.bounds.stop < Duration::from_secs(1) {
            return Err(SettingsError::Value("bounds.stop_s", "give a second or more"));
        }
        Ok(())
    }
}
