//! What the declared routes of a service call for.
//!
//! Some decisions only help a service whose callers differ in how long they can wait. The
//! declarations show that; a service whose streams have similar objectives is served
//! without these decisions.

use chestnut_base::ServiceName;
use chestnut_edge::{Route, RouteKind};

/// The smallest ratio of the longest to the shortest objective of a service's streams at
/// which its objectives count as mixed.
///
/// Below it, all streams are due at about the same time, so that none can give way.
const MIXED_OBJECTIVES_RATIO: f64 = 4.0;

/// The smallest ratio of a patient route's objective to the shortest of its service.
const PATIENT_RATIO: f64 = 3.0;

/// What the declared routes of a service call for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServiceProfile {
    /// Whether the objectives of the service's streams differ widely.
    pub mixed_objectives: bool,
    /// The priority of the service's patient streams; `None` if it has none.
    ///
    /// It is strictly the last among the priorities of the service's streams.
    patient_priority: Option<u8>,
}

impl ServiceProfile {
    /// The profile of a service by the routes that lead to it.
    pub fn of(service: &ServiceName, routes: &[Route]) -> Self {
        let leads_to_service =
            |route: &&Route| route.shares.iter().any(|share| share.service == *service);
        let streams: Vec<&Route> = routes
            .iter()
            .filter(leads_to_service)
            .filter(|route| matches!(route.kind, RouteKind::Stream { .. }))
            .collect();
        let objectives = || streams.iter().map(|route| route.objective);
        let (Some(shortest), Some(longest)) = (objectives().min(), objectives().max())
        else {
            return Self::default();
        };
        let last_priority = streams.iter().map(|route| route.priority).max();
        let is_patient = |route: &&&Route| {
            route.kind.is_repeatable()
                && route.objective >= shortest.mul_f64(PATIENT_RATIO)
        };
        let mut last =
            streams.iter().filter(|route| Some(route.priority) == last_priority);
        let all_last_patient = last.all(|route| is_patient(&route));
        let mixed_objectives = longest >= shortest.mul_f64(MIXED_OBJECTIVES_RATIO);
        let has_patient_streams = mixed_objectives && all_last_patient;
        Self {
            mixed_objectives,
            patient_priority: last_priority.filter(|_| has_patient_streams),
        }
    }

    /// Whether the service has patient streams.
    pub fn has_patient_streams(&self) -> bool {
        self.patient_priority.is_some()
    }

    /// Whether the requests on a route are patient.
    pub fn is_patient(&self, route: &Route) -> bool {
        matches!(route.kind, RouteKind::Stream { .. })
            && self.patient_priority == Some(route.priority)
    }
}
