//! Regions in which a request may be processed.

use std::collections::BTreeSet;

use crate::ids::RegionName;
use crate::table::{ServiceEntry, UpstreamEntry, UpstreamState};

/// Regions that a request allows. An upstream elsewhere is never chosen for it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RegionLimit<'a> {
    allowed: Option<&'a BTreeSet<RegionName>>,
}

impl<'a> From<Option<&'a BTreeSet<RegionName>>> for RegionLimit<'a> {
    /// Limit to these regions; `None` allows all.
    fn from(allowed: Option<&'a BTreeSet<RegionName>>) -> Self {
        Self { allowed }
    }
}

impl RegionLimit<'_> {
    /// Whether the request may be processed at the upstream.
    pub fn allows(self, upstream: &UpstreamEntry) -> bool {
        self.allowed
            .is_none_or(|regions| regions.contains(&upstream.region))
    }

    /// Whether some upstream of the service that accepts calls is in an allowed region.
    pub fn has_upstream(self, entry: &ServiceEntry) -> bool {
        let mut upstreams = entry.upstreams.values();
        upstreams.any(|upstream| upstream.state == UpstreamState::Ready && self.allows(upstream))
    }

    /// Allowed regions other than the own one, in which the subset of a service must have
    /// members: those that it has without regard to regions may all be in another one.
    pub(super) fn other_regions<'a>(
        self,
        own_region: &'a RegionName,
    ) -> impl Iterator<Item = &'a RegionName>
    where
        Self: 'a,
    {
        let regions = self.allowed.into_iter().flatten();
        regions.filter(move |region| *region != own_region)
    }
}
