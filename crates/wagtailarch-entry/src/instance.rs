//! A running entry instance.

use std::{io, net::SocketAddr, sync::Arc};

use displaydoc::Display;
use slog::Logger;
use tokio::{net::TcpListener, time::timeout};

use crate::{
    admin::serve_admin,
    control::{ControlError, ControlThread},
    server::serve_clients,
    settings::{Settings, ms},
    shared::{Shared, Stage},
};

/// Why an instance could not start.
#[derive(Debug, Display)]
pub enum StartError {
    /// cannot listen on {address}: {source}
    Listen {
        /// Address of the settings.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// the control thread could not start: {0}
    Control(ControlError),
}

impl std::error::Error for StartError {}

/// A running entry instance.
#[derive(Debug)]
pub struct Instance {
    shared: Arc<Shared>,
    control: ControlThread,
    client_address: SocketAddr,
    admin_address: SocketAddr,
}

impl Instance {
    /// Binds the addresses and starts serving on the current runtime.
    pub async fn start(settings: Settings, log: Logger) -> Result<Self, StartError> {
        let clients = listen(settings.client_address).await?;
        let admin = listen(settings.admin_address).await?;
        let shared = Arc::new(Shared::new(settings, log));
        let control = ControlThread::start(Arc::clone(&shared)).map_err(StartError::Control)?;
        let instance = Self {
            client_address: local(&clients, shared.settings.client_address),
            admin_address: local(&admin, shared.settings.admin_address),
            control,
            shared: Arc::clone(&shared),
        };
        tokio::spawn(serve_clients(Arc::clone(&shared), clients));
        tokio::spawn(serve_admin(Arc::clone(&shared), admin));
        slog::info!(shared.log, "started"; "clients" => %instance.client_address,
            "admin" => %instance.admin_address, "version" => env!("CARGO_PKG_VERSION"));
        Ok(instance)
    }

    /// Returns the state of the instance.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Returns the address for clients.
    pub fn client_address(&self) -> SocketAddr {
        self.client_address
    }

    /// Returns the address for health and metrics.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Drains the instance: says that it is not ready, waits for the balancer, finishes what runs.
    ///
    /// Returns whether every request finished in time.
    pub async fn drain(self) -> bool {
        let shared = &self.shared;
        let timeouts = shared.settings.timeouts;
        slog::info!(shared.log, "draining"; "running" => shared.running.len());
        shared.stage.send_replace(Stage::Leaving);
        tokio::time::sleep(ms(timeouts.drain_delay_ms)).await;
        shared.stage.send_replace(Stage::Finishing);
        shared.running.close();
        let finished = timeout(ms(timeouts.drain_ms), shared.running.wait())
            .await
            .is_ok();
        shared.stage.send_replace(Stage::Stopped);
        slog::info!(shared.log, "stopped"; "finished" => finished, "left" => shared.running.len());
        self.control.stop().await;
        finished
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| StartError::Listen { address, source })
}

fn local(listener: &TcpListener, configured: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(configured)
}
