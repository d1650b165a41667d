//! Sizes and request mixes of the deployments.

/// Sizes of a deployment.
#[derive(Debug)]
pub(super) struct DeploymentShape {
    pub(super) region: &'static str,
    pub(super) zones: &'static [&'static str],
    pub(super) services: &'static [ServiceShape],
    pub(super) connections: u64,
    pub(super) between_zones_us: u64,
    pub(super) client_us: u64,
}

/// Sizes and request mix of a service.
#[derive(Debug)]
pub(super) struct ServiceShape {
    pub(super) name: &'static str,
    pub(super) upstreams: usize,
    pub(super) slots: u64,
    pub(super) read: RequestShape,
    pub(super) write: RequestShape,
    /// Share of writes.
    pub(super) write_share: f64,
}

#[derive(Debug)]
pub(super) struct RequestShape {
    pub(super) method: &'static str,
    pub(super) path: &'static str,
    pub(super) body_bytes: u64,
    pub(super) mean_us: f64,
}

const fn request(
    method: &'static str,
    path: &'static str,
    body_bytes: u64,
    mean_us: f64,
) -> RequestShape {
    RequestShape {
        method,
        path,
        body_bytes,
        mean_us,
    }
}

pub(super) const HEARTHWOOD: DeploymentShape = DeploymentShape {
    region: "oyo-west",
    zones: &["ogbomoso-a", "oyo-town-b", "iseyin-c"],
    services: &[
        ServiceShape {
            name: "slotbook",
            upstreams: 4,
            slots: 6,
            read: request("GET", "/slots", 0, 8_000.0),
            write: request("POST", "/bookings", 300, 12_000.0),
            write_share: 0.1,
        },
        ServiceShape {
            name: "tillpost",
            upstreams: 3,
            slots: 6,
            read: request("GET", "/orders", 0, 8_000.0),
            write: request("POST", "/orders", 500, 15_000.0),
            write_share: 0.4,
        },
        ServiceShape {
            name: "yardlog",
            upstreams: 4,
            slots: 6,
            read: request("GET", "/stock", 0, 10_000.0),
            write: request("PUT", "/photos", 200_000, 40_000.0),
            write_share: 0.1,
        },
    ],
    connections: 260,
    between_zones_us: 500,
    client_us: 1_000,
};

pub(super) const CHANTIER: DeploymentShape = DeploymentShape {
    region: "qc-est",
    zones: &["qc-est-a", "qc-est-b", "qc-est-c", "qc-est-d"],
    services: &[
        ServiceShape {
            name: "trajet",
            upstreams: 4,
            slots: 18,
            read: request("GET", "/routes", 0, 25_000.0),
            write: request("PUT", "/watches", 200, 25_000.0),
            write_share: 0.05,
        },
        ServiceShape {
            name: "chantier",
            upstreams: 4,
            slots: 18,
            read: request("GET", "/closures", 0, 20_000.0),
            write: request("POST", "/closures", 2_000, 40_000.0),
            write_share: 0.3,
        },
        ServiceShape {
            name: "plans",
            upstreams: 4,
            slots: 18,
            read: request("GET", "/plans", 0, 50_000.0),
            write: request("PUT", "/plans", 500_000, 100_000.0),
            write_share: 0.1,
        },
    ],
    connections: 240,
    between_zones_us: 1_400,
    client_us: 8_000,
};

/// Level of the deep deployment; one that waits for more levels below holds
/// its slots for longer and has more of them.
const fn level(name: &'static str, slots: u64) -> ServiceShape {
    ServiceShape {
        name,
        upstreams: 3,
        slots,
        read: request("GET", "/", 0, 5_000.0),
        write: request("POST", "/", 300, 5_000.0),
        write_share: 0.2,
    }
}

pub(super) const DEEP: DeploymentShape = DeploymentShape {
    region: "oyo-west",
    zones: HEARTHWOOD.zones,
    services: &[
        level("level-01", 44),
        level("level-02", 40),
        level("level-03", 36),
        level("level-04", 32),
        level("level-05", 28),
        level("level-06", 24),
        level("level-07", 20),
        level("level-08", 16),
        level("level-09", 12),
        level("level-10", 8),
        level("level-11", 4),
    ],
    connections: 260,
    between_zones_us: 500,
    client_us: 1_000,
};

impl ServiceShape {
    pub(super) fn mean_us(&self) -> f64 {
        self.read.mean_us * (1.0 - self.write_share) + self.write.mean_us * self.write_share
    }
}
