//! Links between entry instances, the platform and each other.

use std::net::SocketAddr;
use std::path::Path;

use http::{Method, StatusCode};
use serde::Serialize;
use smol_str::{SmolStr, format_smolstr};
use wagtailarch_standin::link::{Cut, Heal, LinkCounters};

use crate::fleet::start_standin;
use crate::{HarnessError, Reply, ServerProcess, TestFleet, call};

/// The links of a fleet: one to the platform and one to its peers for each entry instance.
#[derive(Debug)]
pub struct Links {
    control: SocketAddr,
    /// Address of the link that each entry instance reaches the platform at.
    platform: Vec<SocketAddr>,
    /// Address of the link that others reach each entry instance at.
    peer: Vec<SocketAddr>,
    _process: ServerProcess,
}

impl Links {
    /// Starts links for entry instances with these transport addresses.
    pub(crate) async fn start(
        dir: &Path,
        platform: SocketAddr,
        peers: &[SocketAddr],
    ) -> Result<Self, HarnessError> {
        let mut args = Vec::new();
        for (number, peer) in peers.iter().enumerate() {
            args.extend(["--tcp".into(), format!("platform-{number}={platform}")]);
            args.extend(["--udp".into(), format!("peer-{number}={peer}")]);
        }
        let (process, control) = start_standin(dir, "links", "standin-link", &args).await?;
        let mut links = Self {
            control,
            platform: Vec::new(),
            peer: Vec::new(),
            _process: process,
        };
        // Counters are in the order of the options, those of TCP first.
        let counters = links.counters().await?;
        let (to_platform, to_peers) = counters.split_at(peers.len());
        links.platform = to_platform.iter().map(|link| link.address).collect();
        links.peer = to_peers.iter().map(|link| link.address).collect();
        Ok(links)
    }

    /// Returns the address at which an entry instance reaches the platform.
    pub fn platform(&self, number: usize) -> SocketAddr {
        self.platform[number]
    }

    /// Returns the address at which others reach the transport of an entry instance.
    pub fn peer(&self, number: usize) -> SocketAddr {
        self.peer[number]
    }

    /// Formats the settings that name the other instances, for a start without the platform.
    pub(crate) fn seeds(&self, number: usize, names: &[(String, String)]) -> String {
        let others = names.iter().zip(&self.peer).enumerate();
        let others = others.filter(|(other, _)| *other != number);
        let seed = |(_, ((id, zone), address)): (usize, (&(String, String), &SocketAddr))| {
            format!(
                "[[peers.seed]]\ninstance = \"{id}\"\nzone = \"{zone}\"\n\
                 address = \"{address}\"\n"
            )
        };
        others.map(seed).collect()
    }

    /// Returns the counters of all links.
    pub async fn counters(&self) -> Result<Vec<LinkCounters>, HarnessError> {
        let path = "/standin/v1/counters";
        let reply = call(Method::GET, self.control, path, &[], String::new()).await?;
        reply.json()
    }

    /// Cuts links.
    pub async fn cut(&self, cut: &Cut) -> Result<(), HarnessError> {
        self.post("cut", cut).await
    }

    /// Heals all links.
    pub async fn heal(&self) -> Result<(), HarnessError> {
        self.post("heal", &Heal::default()).await
    }

    async fn post(&self, name: &str, body: &impl Serialize) -> Result<(), HarnessError> {
        let path = format!("/standin/v1/{name}");
        let body = serde_json::to_string(body).map_err(|e| HarnessError::Call(e.to_string()))?;
        let reply: Reply = call(Method::POST, self.control, &path, &[], body).await?;
        if reply.status == StatusCode::NO_CONTENT {
            return Ok(());
        }
        let text = format!("{path}: status {}", reply.status);
        Err(HarnessError::Call(text))
    }
}

impl TestFleet {
    /// Cuts the entry instances of a zone off from the platform and from those of other zones.
    /// Those of the zone still reach each other.
    pub async fn cut_zone(&self, zone: &str) -> Result<(), HarnessError> {
        let (inside, outside): (Vec<usize>, Vec<usize>) =
            (0..self.entries.len()).partition(|&number| self.entries[number].zone == zone);
        let links = self.links()?;
        let platform = Cut {
            links: names("platform", &inside),
            ..Cut::default()
        };
        links.cut(&platform).await?;
        for (to, from) in [(&inside, &outside), (&outside, &inside)] {
            let cut = Cut {
                links: names("peer", to),
                from: from.iter().map(|&n| self.entries[n].peer).collect(),
                ..Cut::default()
            };
            links.cut(&cut).await?;
        }
        Ok(())
    }

    /// Returns the links.
    pub fn links(&self) -> Result<&Links, HarnessError> {
        let none = || HarnessError::Call("the fleet has no links".into());
        self.links.as_ref().ok_or_else(none)
    }
}

fn names(kind: &str, numbers: &[usize]) -> Vec<SmolStr> {
    let name = |number: &usize| format_smolstr!("{kind}-{number}");
    numbers.iter().map(name).collect()
}
