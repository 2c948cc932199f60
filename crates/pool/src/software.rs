//! Which software versions may run a request.
//!
//! Runners of several software versions may serve a service side by side. What two versions
//! write doesn't fit together, and runners don't check it: a stream whose caller has an event
//! continues only at the version that began it.

use chestnut_base::SoftwareVersion;

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
