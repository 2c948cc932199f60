//! Which software versions may run a request.
//!
//! Runners of several software versions may serve a service side by side. What two versions
//! write doesn't fit together, and runners don't check it: a stream whose caller has an event
//! continues only at the version that began it. [`resolve`] decides which one that is when a
//! caller resumes a stream; what isn't known is not guessed.

use std::time::{Duration, Instant};

use chestnut_base::{Digest, ServiceName, SoftwareVersion};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::origins::StreamOrigin;

/// How long after a version was last listed its streams may still be resumed.
pub const VERSION_RETENTION: Duration = Duration::from_secs(60);

/// The software versions that may run a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum SoftwareBinding {
    /// Any: its caller has no event.
    #[default]
    Any,
    /// The version that began the stream; `None` if its server named none.
    Only(Option<SoftwareVersion>),
}

impl SoftwareBinding {
    /// Whether a server of this version may run the request.
    pub fn permits(&self, software: Option<&SoftwareVersion>) -> bool {
        match self {
            Self::Any => true,
            Self::Only(version) => version.as_ref() == software,
        }
    }

    /// Binds a request without a binding to the version of the server that sent the first
    /// event.
    pub fn bind(&mut self, software: Option<&SoftwareVersion>) {
        if *self == Self::Any {
            *self = Self::Only(software.cloned());
        }
    }

    /// The version, for logs; `None` without a binding.
    pub fn name(&self) -> Option<&str> {
        match self {
            Self::Any => None,
            Self::Only(None) => Some("unnamed"),
            Self::Only(Some(version)) => Some(version.as_str()),
        }
    }
}

/// The software versions by which streams of a service may have begun, as far as a daemon
/// knows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum KnownVersions {
    /// None is known.
    #[default]
    None,
    /// A single one; `None` if its servers name none.
    One(Option<SoftwareVersion>),
    /// More than one.
    Several,
}

/// What a daemon knows that may tell where a stream began.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginKnowledge {
    /// Its record of the stream.
    pub origin: Option<StreamOrigin>,
    /// The versions of the service.
    pub versions: KnownVersions,
    /// Whether the store has confirmed the versions recently.
    pub current: bool,
}

/// How a caller's request to resume a stream goes on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Resolution {
    /// At this service, or at the request's own if it is `None`, and at this version.
    Bound(Option<ServiceName>, SoftwareBinding),
    /// After other daemons were asked for what they know.
    AskOthers,
    /// Not: several versions may have begun the stream, and the request names no attempt.
    Unnamed,
    /// Not: the version that began the stream is not known.
    Unknown,
}

/// What other daemons that were asked know.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Answers {
    /// The number of daemons that were asked.
    pub asked: usize,
    /// What those know that answered.
    pub received: Vec<OriginKnowledge>,
}

impl Answers {
    /// Whether daemons answered and none knows another version than this one.
    fn confirm(&self, versions: &KnownVersions) -> bool {
        let mut known =
            self.received.iter().filter(|other| other.versions != KnownVersions::None);
        let is_any_known = known.clone().next().is_some();
        is_any_known && known.all(|other| other.versions == *versions)
    }

    /// Whether nothing is gained by waiting for further answers.
    pub fn are_enough(&self, own: &OriginKnowledge) -> bool {
        let is_recorded = self.received.iter().any(|other| other.origin.is_some());
        // The daemon that began the stream may have ended without being missed yet.
        let only_one_missing = self.received.len() + 1 >= self.asked;
        is_recorded
            || self.received.len() >= self.asked
            || only_one_missing && self.confirm(&own.versions)
    }
}

/// Decides how a request to resume a stream goes on by what its daemon knows, and by the
/// answers of other daemons once these were asked.
///
/// `is_named` is whether the request names the attempt that got the first event. One that
/// names none is served where a single version is known.
pub fn resolve(
    is_named: bool,
    own: &OriginKnowledge,
    answers: Option<&Answers>,
) -> Resolution {
    let received = answers.map_or(&[][..], |answers| &answers.received);
    let others = received.iter().filter_map(|other| other.origin.as_ref());
    let mut origins = own.origin.iter().chain(others);
    if let Some(origin) = origins.next() {
        if origins.any(|other| other != origin) {
            return Resolution::Unknown;
        }
        let binding = SoftwareBinding::Only(origin.software.clone());
        return Resolution::Bound(Some(origin.service.clone()), binding);
    }
    let is_single = match answers {
        None => !is_named,
        // Another daemon may have begun streams at a version that this one doesn't list yet.
        Some(answers) if answers.asked > 0 => answers.confirm(&own.versions),
        Some(_) => own.current,
    };
    match (&own.versions, is_named) {
        (KnownVersions::One(version), _) if is_single => {
            Resolution::Bound(None, SoftwareBinding::Only(version.clone()))
        }
        (KnownVersions::None, false) => Resolution::Bound(None, SoftwareBinding::Any),
        (_, false) => Resolution::Unnamed,
        (_, true) if answers.is_none() => Resolution::AskOthers,
        (_, true) => Resolution::Unknown,
    }
}

/// A version of a service.
#[derive(Debug, Clone)]
struct VersionState {
    /// Whether the registry lists a server of it.
    is_listed: bool,
    /// When the registry last listed one, or when it became known.
    last_listed_at: Instant,
    /// The version of its row in the store; `None` without a row.
    row: Option<u64>,
}

/// The software versions by which streams may have begun, by service: those of servers that
/// are listed or were until recently, and those with a row in the store.
///
/// The rows are for daemons that start: the registry lists only what serves now. A row is
/// removed by a daemon that has seen its version unlisted for [`VERSION_RETENTION`].
#[derive(Debug, Default)]
pub struct SoftwareHistory {
    services: IndexMap<ServiceName, IndexMap<Option<SoftwareVersion>, VersionState>>,
    /// Services with several versions.
    mixed: IndexSet<ServiceName>,
}

impl SoftwareHistory {
    /// Records which versions the registry lists now.
    pub fn update_listed<'a>(
        &mut self,
        listed: impl IntoIterator<Item = (&'a ServiceName, &'a Option<SoftwareVersion>)>,
        now: Instant,
    ) {
        for state in self.services.values_mut().flat_map(IndexMap::values_mut) {
            state.is_listed = false;
        }
        for (service, software) in listed {
            self.record_listed(service, software, now);
        }
        for versions in self.services.values_mut() {
            versions.retain(|_, state| {
                let unlisted = now.saturating_duration_since(state.last_listed_at);
                state.row.is_some() || unlisted < VERSION_RETENTION
            });
        }
        self.services.retain(|_, versions| !versions.is_empty());
    }

    /// Records that the registry lists a server of a version.
    pub fn record_listed(
        &mut self,
        service: &ServiceName,
        software: &Option<SoftwareVersion>,
        now: Instant,
    ) {
        let state = self.state(service, software, now);
        (state.is_listed, state.last_listed_at) = (true, now);
    }

    /// Records a row of the store.
    pub fn record_row(
        &mut self,
        service: &ServiceName,
        software: &Option<SoftwareVersion>,
        row: u64,
        now: Instant,
    ) {
        self.state(service, software, now).row = Some(row);
    }

    /// Records that a row with this key was removed.
    pub fn record_removal(&mut self, service: &ServiceName, version_key: Digest) {
        let versions = self.services.get_mut(service).into_iter().flatten();
        for (software, state) in versions {
            if self::version_key(software.as_ref()) == version_key {
                state.row = None;
            }
        }
    }

    /// The versions of a service.
    pub fn known(&self, service: &ServiceName) -> KnownVersions {
        let Some(versions) = self.services.get(service) else {
            return KnownVersions::None;
        };
        let mut names = versions.keys();
        match (names.next(), names.next()) {
            (None, _) => KnownVersions::None,
            (Some(version), None) => KnownVersions::One(version.clone()),
            (Some(_), Some(_)) => KnownVersions::Several,
        }
    }

    /// The services that have had several versions since the last call of this and had a
    /// single one before.
    pub fn take_mixed(&mut self) -> Vec<ServiceName> {
        let is_mixed = |(service, versions): (&ServiceName, &IndexMap<_, _>)| {
            (versions.len() > 1).then(|| service.clone())
        };
        let mixed: IndexSet<ServiceName> =
            self.services.iter().filter_map(is_mixed).collect();
        let new = mixed.difference(&self.mixed).cloned().collect();
        self.mixed = mixed;
        new
    }

    /// The listed versions without a row.
    pub fn unwritten(&self) -> Vec<(ServiceName, Option<SoftwareVersion>)> {
        self.select(|state| state.is_listed && state.row.is_none())
            .map(|(service, software, _)| (service.clone(), software.clone()))
            .collect()
    }

    /// The versions whose rows may be removed, with the versions of the rows.
    pub fn expired(
        &self,
        now: Instant,
    ) -> Vec<(ServiceName, Option<SoftwareVersion>, u64)> {
        let is_expired = |state: &VersionState| {
            let unlisted = now.saturating_duration_since(state.last_listed_at);
            !state.is_listed && unlisted >= VERSION_RETENTION
        };
        self.select(is_expired)
            .filter_map(|(service, software, state)| {
                Some((service.clone(), software.clone(), state.row?))
            })
            .collect()
    }

    /// All versions by service, for the daemon's state.
    pub fn versions(&self) -> IndexMap<ServiceName, Vec<String>> {
        let name = |software: &Option<SoftwareVersion>| {
            software.as_ref().map_or_else(String::new, ToString::to_string)
        };
        let services = self.services.iter();
        services
            .map(|(service, versions)| {
                (service.clone(), versions.keys().map(name).collect())
            })
            .collect()
    }

    fn select(
        &self,
        is_selected: impl Fn(&VersionState) -> bool,
    ) -> impl Iterator<Item = (&ServiceName, &Option<SoftwareVersion>, &VersionState)>
    {
        let versions = self.services.iter().flat_map(|(service, versions)| {
            versions.iter().map(move |(software, state)| (service, software, state))
        });
        versions.filter(move |(_, _, state)| is_selected(state))
    }

    fn state(
        &mut self,
        service: &ServiceName,
        software: &Option<SoftwareVersion>,
        now: Instant,
    ) -> &mut VersionState {
        // Names are copied only when they are new: this runs for each listed server.
        let service = match self.services.get_index_of(service) {
            Some(index) => index,
            None => self.services.insert_full(service.clone(), IndexMap::new()).0,
        };
        let versions = &mut self.services[service];
        let unknown = VersionState { is_listed: false, last_listed_at: now, row: None };
        let version = match versions.get_index_of(software) {
            Some(index) => index,
            None => versions.insert_full(software.clone(), unknown).0,
        };
        &mut versions[version]
    }
}

/// Identifies a version in the key of its row: versions are any text.
pub fn version_key(software: Option<&SoftwareVersion>) -> Digest {
    Digest::of(software.map(|version| version.as_str().as_bytes()))
}
