//! Profiles of the deployments: sizes, network delays and request mixes.

#[derive(Debug)]
pub(super) struct DeploymentProfile {
    pub(super) region: &'static str,
    pub(super) zones: &'static [&'static str],
    pub(super) services: &'static [ServiceProfile],
    /// Connections that each backend server accepts.
    pub(super) connections: u64,
    /// One-way delay between availability zones.
    pub(super) between_zones_us: u64,
    /// One-way delay between a client and the node that it reaches.
    pub(super) client_us: u64,
}

#[derive(Debug)]
pub(super) struct ServiceProfile {
    pub(super) name: &'static str,
    pub(super) upstreams: usize,
    pub(super) slots: u64,
    pub(super) read: RequestProfile,
    pub(super) write: RequestProfile,
    /// Fraction of the requests that are writes.
    pub(super) write_share: f64,
}

#[derive(Debug)]
pub(super) struct RequestProfile {
    pub(super) method: &'static str,
    pub(super) path: &'static str,
    pub(super) body_bytes: u64,
    /// Mean undisturbed service time.
    pub(super) mean_work_us: f64,
}

const fn request(
    method: &'static str,
    path: &'static str,
    body_bytes: u64,
    mean_work_us: f64,
) -> RequestProfile {
    RequestProfile {
        method,
        path,
        body_bytes,
        mean_work_us,
    }
}

pub(super) const HEARTHWOOD: DeploymentProfile = DeploymentProfile {
    region: "oyo-west",
    zones: &["ogbomoso-a", "oyo-town-b", "iseyin-c"],
    services: &[
        ServiceProfile {
            name: "slotbook",
            upstreams: 4,
            slots: 6,
            read: request("GET", "/slots", 0, 8_000.0),
            write: request("POST", "/bookings", 300, 12_000.0),
            write_share: 0.1,
        },
        ServiceProfile {
            name: "tillpost",
            upstreams: 3,
            slots: 6,
            read: request("GET", "/orders", 0, 8_000.0),
            write: request("POST", "/orders", 500, 15_000.0),
            write_share: 0.4,
        },
        ServiceProfile {
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

pub(super) const CHANTIER: DeploymentProfile = DeploymentProfile {
    region: "qc-est",
    zones: &["qc-est-a", "qc-est-b", "qc-est-c", "qc-est-d"],
    services: &[
        ServiceProfile {
            name: "trajet",
            upstreams: 4,
            slots: 18,
            read: request("GET", "/routes", 0, 25_000.0),
            write: request("PUT", "/watches", 200, 25_000.0),
            write_share: 0.05,
        },
        ServiceProfile {
            name: "chantier",
            upstreams: 4,
            slots: 18,
            read: request("GET", "/closures", 0, 20_000.0),
            write: request("POST", "/closures", 2_000, 40_000.0),
            write_share: 0.3,
        },
        ServiceProfile {
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

/// Service of the deep deployment. A call holds its slot until the levels below
/// have answered; the more there are, the more slots a service has.
const fn level(name: &'static str, slots: u64) -> ServiceProfile {
    ServiceProfile {
        name,
        upstreams: 3,
        slots,
        read: request("GET", "/", 0, 5_000.0),
        write: request("POST", "/", 300, 5_000.0),
        write_share: 0.2,
    }
}

pub(super) const DEEP: DeploymentProfile = DeploymentProfile {
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

impl ServiceProfile {
    pub(super) fn mean_work_us(&self) -> f64 {
        self.read.mean_work_us * (1.0 - self.write_share)
            + self.write.mean_work_us * self.write_share
    }
}
