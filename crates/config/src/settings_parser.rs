//! Reads and checks the text of the settings.

use std::net::SocketAddr;
use std::time::Duration;

use chestnut_base::TeamName;
use indexmap::IndexMap;
use serde_with::DurationMilliSeconds;

use crate::keys::is_sha256_hex;
use crate::problem::Problems;
use crate::reader::{Fields, read_object};
use crate::settings::{Limits, LogLevel, Settings, Times, Tls};

const EXPECTED_ADDRESS: &str = "an address such as \"10.0.0.4:8080\"";
const EXPECTED_URL: &str = "a base URL such as \"http://10.0.0.5:7000\"";
const EXPECTED_MILLIS: &str = "a whole number of milliseconds, such as 2000";
const EXPECTED_COUNT: &str = "a whole number greater than zero";

impl Settings {
    /// Reads and checks settings; `file` is the name used in problems.
    pub fn parse(file: &str, text: &str) -> Result<Self, Problems> {
        let mut problems = Problems::default();
        let settings = read_object(file, text, &mut problems, read_settings);
        match settings {
            Some(settings) => problems.into_result(settings),
            None => Err(problems.sorted()),
        }
    }
}

fn read_settings(fields: &mut Fields<'_>) -> Option<Settings> {
    let vm = fields.required("vm", "the VM's name, such as \"entry-1\"");
    let domain =
        fields.required("domain", "the VM's failure domain, such as \"accra-a\"");
    let caller_addr = fields.required("caller_addr", EXPECTED_ADDRESS);
    let peer_addr = fields.required("peer_addr", EXPECTED_ADDRESS);
    let ops_addr = fields.required("ops_addr", EXPECTED_ADDRESS);
    check_distinct_addresses(fields, caller_addr, ops_addr);
    let table_url = url(fields, "table_url");
    let object_url = url(fields, "object_url");
    let vms_url = url(fields, "vms_url");
    let tls = fields.object("tls", read_tls);
    if tls.is_none() {
        fields.add_problem(
            "tls",
            "the TLS files are incomplete",
            "write { \"cert\": FILE, \"key\": FILE, \"trust\": FILE }",
        );
    }
    let operators = read_operators(fields);
    let levels = "one of \"error\", \"warning\", \"info\", \"debug\"";
    let log_level = fields.get_or("log_level", LogLevel::Info, levels);
    let times = fields.object("times", read_times).unwrap_or_default();
    let limits = fields.object("limits", read_limits).unwrap_or_default();
    Some(Settings {
        vm: vm?,
        domain: domain?,
        caller_addr: caller_addr?,
        peer_addr: peer_addr?,
        ops_addr: ops_addr?,
        table_url: table_url?,
        object_url: object_url?,
        vms_url: vms_url?,
        tls: tls?,
        operators,
        log_level,
        times,
        limits,
    })
}

fn check_distinct_addresses(
    fields: &mut Fields<'_>,
    caller: Option<SocketAddr>,
    ops: Option<SocketAddr>,
) {
    let same = caller.is_some() && caller == ops && caller.is_some_and(|a| a.port() != 0);
    fields.check(
        "ops_addr",
        !same,
        "operators and callers have the same address",
        "give operators another port",
    );
}

fn url(fields: &mut Fields<'_>, name: &'static str) -> Option<String> {
    let text: String = fields.required(name, EXPECTED_URL)?;
    let host = text.strip_prefix("http://").or_else(|| text.strip_prefix("https://"));
    let valid = host.is_some_and(|host| {
        !host.is_empty() && !host.starts_with('/') && !host.contains(char::is_whitespace)
    });
    fields.check(name, valid, "this is not a base URL", &format!("write {EXPECTED_URL}"));
    Some(text.trim_end_matches('/').to_owned())
}

fn read_tls(fields: &mut Fields<'_>) -> Option<Tls> {
    let file = "the path of a PEM file";
    let cert = fields.required("cert", file);
    let key = fields.required("key", file);
    let trust = fields.required("trust", file);
    Some(Tls { cert: cert?, key: key?, trusted_cas: trust? })
}

fn read_operators(fields: &mut Fields<'_>) -> IndexMap<TeamName, String> {
    let mut operators = IndexMap::new();
    for (team, hash, location) in fields.strings("operators") {
        match TeamName::try_from(team) {
            Ok(team) if is_sha256_hex(&hash) => {
                operators.insert(team, hash);
            }
            Ok(_) => fields.add_problem_at(
                location,
                "this is not a SHA-256 hash",
                "write the 64 lower-case hexadecimal digits of the key's SHA-256",
            ),
            Err(error) => {
                fields.add_problem_at(location, error.to_string(), "rename the team")
            }
        }
    }
    operators
}

fn read_times(fields: &mut Fields<'_>) -> Option<Times> {
    let defaults = Times::default();
    let times = Times {
        lease_duration: millis(fields, "lease_ms", defaults.lease_duration),
        renewal_interval: millis(fields, "renewal_ms", defaults.renewal_interval),
        poll_interval: millis(fields, "poll_ms", defaults.poll_interval),
        platform_timeout: millis(fields, "platform_ms", defaults.platform_timeout),
        drain_time: millis(fields, "leave_ms", defaults.drain_time),
        max_staleness: millis(fields, "stale_ms", defaults.max_staleness),
        address_ttl: millis(fields, "keep_ms", defaults.address_ttl),
    };
    fields.check(
        "lease_ms",
        times.lease_duration >= times.renewal_interval.saturating_mul(3),
        "the lease is shorter than three renewals, so two lost renewals end it",
        "write at least three times renewal_ms",
    );
    fields.check(
        "leave_ms",
        times.drain_time >= times.address_ttl,
        "callers may use an address after a draining daemon stops accepting requests",
        "write at least keep_ms",
    );
    fields.check(
        "stale_ms",
        times.max_staleness >= times.poll_interval.saturating_mul(2),
        "one late read of the table would make the daemon refuse new requests",
        "write at least twice poll_ms",
    );
    Some(times)
}

fn millis(fields: &mut Fields<'_>, name: &'static str, default: Duration) -> Duration {
    let time =
        fields.get_or_as::<_, DurationMilliSeconds<u64>>(name, default, EXPECTED_MILLIS);
    fields.check(
        name,
        !time.is_zero(),
        "the time is zero",
        &format!("write {EXPECTED_MILLIS}"),
    );
    time
}

fn read_limits(fields: &mut Fields<'_>) -> Option<Limits> {
    let defaults = Limits::default();
    let limits = Limits {
        max_body_bytes: count(fields, "body", defaults.max_body_bytes),
        max_requests: count(fields, "requests", defaults.max_requests),
        max_buffered_bytes: count(fields, "memory", defaults.max_buffered_bytes),
        journal_slots: count(fields, "slots", defaults.journal_slots),
    };
    fields.check(
        "body",
        limits.max_body_bytes <= limits.max_buffered_bytes,
        "the largest body does not fit into the memory for bodies",
        "write at most `memory`",
    );
    Some(limits)
}

fn count<T>(fields: &mut Fields<'_>, name: &'static str, default: T) -> T
where
    T: serde::de::DeserializeOwned + Default + PartialEq,
{
    let number = fields.get_or(name, default, EXPECTED_COUNT);
    fields.check(name, number != T::default(), "the limit is zero", "write 1 or more");
    number
}
