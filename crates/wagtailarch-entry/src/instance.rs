//! A running entry instance.

use std::{io, net::SocketAddr, sync::Arc};

use displaydoc::Display;
use slog::Logger;
use tokio::{net::TcpListener, sync::mpsc};
use wagtailarch_platform::{HttpPlatform, HttpPlatformConfig, Platform};
use wagtailarch_wire::peer::Hello;

use crate::{
    admin::serve_admin,
    claims::{Claims, PlatformHandle},
    client_tls::ClientAcceptor,
    control::{ControlError, ControlInputs, ControlThread},
    drain::Drain,
    peers::{PeerError, PeerEvent, Peers, TlsError},
    server::serve_clients,
    settings::Settings,
    shared::Shared,
};

/// Reason why an instance could not start.
#[derive(Debug, Display)]
pub enum StartError {
    /// cannot listen on {address}: {source}
    Listen {
        /// Address in the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// the settings have no platform_address
    NoPlatform,
    /// TLS towards clients cannot be set up: {0}
    ClientTls(TlsError),
    /// the transport between instances could not start: {0}
    Peers(PeerError),
    /// the control thread could not start: {0}
    Control(ControlError),
}

impl std::error::Error for StartError {}

/// A running entry instance.
#[derive(Debug)]
pub struct Instance {
    shared: Arc<Shared>,
    control: ControlThread,
    peers: Option<Peers>,
    client_address: SocketAddr,
    admin_address: SocketAddr,
}

impl Instance {
    /// Binds the addresses and starts serving on the current runtime.
    ///
    /// The control thread has its own platform client. A connection is driven by the runtime that
    /// opened it, and requests of clients must not depend on the control thread.
    pub async fn start(settings: Settings, log: Logger) -> Result<Self, StartError> {
        let address = settings.platform_address.ok_or(StartError::NoPlatform)?;
        let new_client = || -> Arc<dyn Platform> {
            let config = HttpPlatformConfig {
                log: log.clone(),
                ..HttpPlatformConfig::new(address)
            };
            Arc::new(HttpPlatform::new(config))
        };
        let (control, traffic) = (new_client(), new_client());
        Self::start_with(settings, log, control, traffic).await
    }

    /// Starts with the given platform clients: one for the control thread and one for the traffic
    /// threads.
    pub async fn start_with(
        settings: Settings,
        log: Logger,
        control_platform: Arc<dyn Platform>,
        traffic_platform: Arc<dyn Platform>,
    ) -> Result<Self, StartError> {
        let client_listener = listen(settings.client_address).await?;
        let admin_listener = listen(settings.admin_address).await?;
        let tls = settings
            .client_tls
            .as_ref()
            .map(ClientAcceptor::load)
            .transpose();
        let tls = tls.map_err(StartError::ClientTls)?;
        let (shared, events) = Shared::new(settings, log);
        let shared = Arc::new(shared);
        let instance = shared.settings.instance.clone();
        let claims = Claims::new(
            PlatformHandle(traffic_platform),
            instance,
            shared.log.clone(),
        );
        shared.claims.set(claims).expect("claims are set once");
        let peers = start_peers(&shared)?;
        let transport = peers.as_ref().map(|(peers, _)| peers.clone());
        let inputs = ControlInputs {
            platform: control_platform,
            events,
            peers,
        };
        let control =
            ControlThread::start(Arc::clone(&shared), inputs).map_err(StartError::Control)?;
        let instance = Self {
            client_address: local_address(&client_listener, shared.settings.client_address),
            admin_address: local_address(&admin_listener, shared.settings.admin_address),
            control,
            peers: transport,
            shared: Arc::clone(&shared),
        };
        tokio::spawn(serve_clients(Arc::clone(&shared), client_listener, tls));
        tokio::spawn(serve_admin(Arc::clone(&shared), admin_listener));
        slog::info!(shared.log, "started"; "clients" => %instance.client_address,
            "admin" => %instance.admin_address, "version" => env!("CARGO_PKG_VERSION"));
        Ok(instance)
    }

    /// Returns the shared state of the instance.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Returns the address that serves clients.
    pub fn client_address(&self) -> SocketAddr {
        self.client_address
    }

    /// Returns the address that serves health checks, metrics and the admin API.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Returns the address of the transport between instances; `None` without a peer address.
    pub fn peer_address(&self) -> Option<SocketAddr> {
        self.peers.as_ref()?.local_address().ok()
    }

    /// Drains and stops the instance; returns whether every request finished in time.
    ///
    /// The instance first reports that it is not ready and waits for the load balancer, then it
    /// finishes the running requests.
    pub async fn drain(self) -> bool {
        let finished = Drain::new(Arc::clone(&self.shared)).run().await;
        self.control.stop().await;
        if let Some(peers) = &self.peers {
            peers.close().await;
        }
        finished
    }
}

/// Starts the transport to other instances if the settings contain its address and keys.
fn start_peers(shared: &Shared) -> Result<Option<(Peers, mpsc::Receiver<PeerEvent>)>, StartError> {
    let settings = &shared.settings;
    let (Some(address), Some(keys)) = (settings.peer_address, &settings.peers) else {
        return Ok(None);
    };
    let hello = Hello {
        instance: settings.instance.clone(),
        boot_id: shared.boot_id,
        zone: settings.zone.clone(),
        generation: 0,
    };
    let started = Peers::start(address, keys, hello, shared.log.clone());
    started.map(Some).map_err(StartError::Peers)
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| StartError::Listen { address, source })
}

fn local_address(listener: &TcpListener, configured: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(configured)
}
