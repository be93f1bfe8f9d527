//! Link stand-ins, through which entry instances reach the platform and each other.

use std::net::SocketAddr;
use std::path::Path;

use http::{Method, StatusCode};
use serde::Serialize;
use smol_str::{SmolStr, format_smolstr};
use wagtailarch_standin::link::{Cut, Heal, LinkCounters};

use crate::fleet::start_standin;
use crate::{HarnessError, HttpResponse, ServerProcess, TestFleet, call};

/// Links of a fleet: for each entry instance one to the platform, and one from its peers to it.
#[derive(Debug)]
pub struct Links {
    /// Address of the control API of the link stand-in.
    control: SocketAddr,
    /// For each entry instance, the address of its link to the platform.
    platform_addresses: Vec<SocketAddr>,
    /// For each entry instance, the address of the link from its peers.
    peer_addresses: Vec<SocketAddr>,
    _process: ServerProcess,
}

impl Links {
    /// Starts the links for entry instances with the peer addresses `peers`.
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
            platform_addresses: Vec::new(),
            peer_addresses: Vec::new(),
            _process: process,
        };
        // The counters of TCP links come first; each protocol is in the order of the options.
        let counters = links.counters().await?;
        let (to_platform, to_peers) = counters.split_at(peers.len());
        links.platform_addresses = to_platform.iter().map(|link| link.address).collect();
        links.peer_addresses = to_peers.iter().map(|link| link.address).collect();
        Ok(links)
    }

    /// Returns the address at which an entry instance reaches the platform.
    pub fn platform_address(&self, number: usize) -> SocketAddr {
        self.platform_addresses[number]
    }

    /// Returns the address at which peers reach an entry instance.
    pub fn peer_address(&self, number: usize) -> SocketAddr {
        self.peer_addresses[number]
    }

    /// Formats the seed settings of an entry instance: the addresses of the others, for a start
    /// without the platform.
    pub(crate) fn seed_settings(&self, number: usize, names: &[(String, String)]) -> String {
        let others = names.iter().zip(&self.peer_addresses).enumerate();
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
        let response = call(Method::GET, self.control, path, &[], String::new()).await?;
        response.json()
    }

    /// Cuts the links that `cut` selects.
    pub async fn cut(&self, cut: &Cut) -> Result<(), HarnessError> {
        self.post_control("cut", cut).await
    }

    /// Restores all links.
    pub async fn heal(&self) -> Result<(), HarnessError> {
        self.post_control("heal", &Heal::default()).await
    }

    /// Makes a call to the control API of the link stand-in.
    async fn post_control(&self, name: &str, body: &impl Serialize) -> Result<(), HarnessError> {
        let path = format!("/standin/v1/{name}");
        let body = serde_json::to_string(body).map_err(|e| HarnessError::Call(e.to_string()))?;
        let response: HttpResponse = call(Method::POST, self.control, &path, &[], body).await?;
        if response.status == StatusCode::NO_CONTENT {
            return Ok(());
        }
        let message = format!("{path}: status {}", response.status);
        Err(HarnessError::Call(message))
    }
}

impl TestFleet {
    /// Cuts the entry instances of a zone off from the platform and from the entry instances of
    /// other zones; they still reach each other.
    pub async fn cut_zone(&self, zone: &str) -> Result<(), HarnessError> {
        let (inside, outside): (Vec<usize>, Vec<usize>) =
            (0..self.entries.len()).partition(|&number| self.entries[number].zone == zone);
        let links = self.links()?;
        let platform = Cut {
            links: link_names("platform", &inside),
            ..Cut::default()
        };
        links.cut(&platform).await?;
        for (to, from) in [(&inside, &outside), (&outside, &inside)] {
            let cut = Cut {
                links: link_names("peer", to),
                from: from.iter().map(|&n| self.entries[n].peer).collect(),
                ..Cut::default()
            };
            links.cut(&cut).await?;
        }
        Ok(())
    }

    /// Returns the links; fails if the options of the fleet do not include them.
    pub fn links(&self) -> Result<&Links, HarnessError> {
        let no_links = || HarnessError::Call("the fleet has no links".into());
        self.links.as_ref().ok_or_else(no_links)
    }
}

fn link_names(kind: &str, numbers: &[usize]) -> Vec<SmolStr> {
    let name = |number: &usize| format_smolstr!("{kind}-{number}");
    numbers.iter().map(name).collect()
}
