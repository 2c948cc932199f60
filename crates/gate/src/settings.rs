//! The daemon's settings: JSON with comments.

use std::fmt::{self, Display, Formatter};
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use chestnut_base::{DomainName, VmName};
use chestnut_edge::Engine;
use chestnut_member::ONE_CORE_WEIGHT;
use chestnut_pool::LoadBound;
use serde::Deserialize;
use serde_with::{DurationMilliSeconds, DurationSecondsWithFrac, serde_as};

/// Settings that can't be used.
#[derive(Debug)]
pub enum SettingsError {
    /// The file can't be read.
    Read(std::io::Error),
    /// The file is no JSON with comments.
    Syntax(String),
    /// A field is missing or has another type.
    Field(String),
    /// A field's value can't be used.
    Value(&'static str, &'static str),
}

impl Display for SettingsError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(error) => {
                write!(f, "the settings can't be read ({error}); name an existing file")
            }
            Self::Syntax(why) => {
                write!(f, "the settings are no JSON with comments ({why}); correct them")
            }
            Self::Field(why) => {
                write!(f, "{why}; see docs/CONFIGURATION.md for the fields")
            }
            Self::Value(field, remedy) => write!(f, "`{field}` can't be used; {remedy}"),
        }
    }
}

impl std::error::Error for SettingsError {}

/// The greatest number of cores that is believed.
const MOST_CORES: f64 = 1024.0;

fn whole_core() -> f64 {
    1.0
}

fn two_seconds() -> Duration {
    Duration::from_secs(2)
}

fn no_overshoot() -> f64 {
    1.0
}

/// The checked settings of one daemon.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Settings {
    /// The VM that the daemon runs on.
    pub vm: VmName,
    /// The VM's failure domain.
    pub domain: DomainName,
    /// The VM's own address.
    pub ip: IpAddr,
    /// Where callers send requests.
    #[serde(rename = "callers")]
    pub caller_addr: SocketAddr,
    /// Where the platform asks whether the daemon is ready.
    #[serde(rename = "readiness")]
    pub readiness_addr: SocketAddr,
    /// Where callers ask which address to use.
    #[serde(rename = "directory")]
    pub directory_addr: SocketAddr,
    /// Where metrics and the daemon's state are shown; nowhere if it is left out.
    #[serde(rename = "metrics")]
    #[serde(default)]
    pub metrics_addr: Option<SocketAddr>,
    /// The first and the last port for traffic between daemons.
    #[serde(rename = "ports")]
    pub peer_ports: (u16, u16),
    /// The platform's store.
    #[serde(rename = "store")]
    pub store_addr: SocketAddr,
    /// The processor time that the daemon has, in cores.
    #[serde(default = "whole_core")]
    pub cores: f64,
    /// Times and bounds that the operators set.
    pub bounds: Bounds,
    /// The file that the settings were read from.
    #[serde(skip)]
    pub path: Option<PathBuf>,
}

/// Times and bounds that the operators set.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Bounds {
    /// How long a process may take to stop after it was told to.
    #[serde(rename = "stop_s")]
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub stop: Duration,
    /// The longest that a caller may keep the directory's answer.
    #[serde(rename = "directory_s")]
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub directory: Duration,
    /// Repeats for each request of a service.
    pub retry_ratio: f64,
    /// Repeats besides, over all daemons.
    pub retry_slack: f64,
    /// The window in which repeats are counted.
    #[serde(rename = "retry_window_s")]
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub retry_window: Duration,
    /// Whether engines refuse orders with an older fence.
    #[serde(default)]
    pub fenced: bool,
    /// The least time between orders of two holders to one engine.
    #[serde(rename = "turn_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub turn: Duration,
    /// How long declarations may take to be in force after the store has taken them.
    #[serde(rename = "apply_ms", default = "two_seconds")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub apply: Duration,
    /// How long a server may be sent requests after the store has taken that it leaves.
    #[serde(rename = "leave_ms", default = "two_seconds")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub leave: Duration,
    /// The window in which loads from the weight store are counted.
    #[serde(rename = "load_window_s")]
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub load_window: Duration,
    /// How many times the declared rate the loads of a window may be, at least 1.
    #[serde(default = "no_overshoot")]
    pub load_overshoot: f64,
}

impl Bounds {
    /// What operators allow of loads from the weight store.
    pub fn loads(&self, engine: &Engine) -> LoadBound {
        LoadBound {
            rate: engine.loads_per_s,
            window: self.load_window,
            overshoot: self.load_overshoot,
        }
    }
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(SettingsError::Read)?;
        let settings = Self::parse(&text)?;
        Ok(Self { path: Some(path.to_owned()), ..settings })
    }

    /// Checks settings; unknown fields are passed over.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let options = jsonc_parser::ParseOptions::default();
        let value =
            jsonc_parser::parse_to_serde_value::<serde_json::Value>(text, &options);
        let value = value.map_err(|error| SettingsError::Syntax(error.to_string()))?;
        let settings: Self = serde_json::from_value(value)
            .map_err(|error| SettingsError::Field(error.to_string()))?;
        settings.check()?;
        Ok(settings)
    }

    /// Where datagrams of other daemons are received.
    pub fn peer_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.peer_ports.0)
    }

    /// Where other daemons ask for changes of the store's tables.
    pub fn table_changes_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.peer_ports.1)
    }

    /// The daemon's weight among those that claims fall to.
    pub fn weight(&self) -> u32 {
        (self.cores * f64::from(ONE_CORE_WEIGHT)).round().max(1.0) as u32
    }

    fn check(&self) -> Result<(), SettingsError> {
        let (first, last) = self.peer_ports;
        if first == 0 || last <= first {
            return Err(SettingsError::Value(
                "ports",
                "give a first and a later last port",
            ));
        }
        if !(self.cores > 0.0 && self.cores <= MOST_CORES) {
            return Err(SettingsError::Value("cores", "give a number of cores above 0"));
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
        let short = |time: Duration| time < Duration::from_millis(500);
        if short(self.bounds.apply) {
            return Err(SettingsError::Value("bounds.apply_ms", "give 500 or more"));
        }
        if short(self.bounds.leave) {
            return Err(SettingsError::Value("bounds.leave_ms", "give 500 or more"));
        }
        if self.bounds.stop < Duration::from_secs(1) {
            return Err(SettingsError::Value("bounds.stop_s", "give a second or more"));
        }
        Ok(())
    }
}
