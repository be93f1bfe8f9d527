//! Stand-in for the platform's load balancer: TCP round robin over ready entry instances.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use http::{StatusCode, Uri};
use http_body_util::Empty;
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::TokioExecutor;
use slog::{Logger, info};
use tokio::io::copy_bidirectional;
use tokio::net::TcpStream;

use crate::engine::settings::{millis, option};
use crate::serve::{ServeError, accept_loop, listen, shutdown_signal};

/// Help text of the balancer's options.
pub const BALANCER_HELP: &str = "\
OPTIONS:
  --port <N>                  port on loopback; 0 selects a free port and prints it [0]
  --entry <ADDRESS[/ADMIN]>   entry instance; /readyz is read from ADMIN if given (repeatable)
  --check-ms <N>              time between two checks of /readyz [200]

A connection goes to the next ready entry instance. If none is ready, it is closed.";

/// Timeout for a readiness check and for a connection to an entry instance.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// An entry instance behind the balancer.
#[derive(Debug)]
pub struct Target {
    /// Address for requests.
    pub address: SocketAddr,
    /// Address of the endpoint `/readyz`.
    pub check_address: SocketAddr,
    /// Whether the last readiness check succeeded.
    ready: AtomicBool,
}

/// the entry instance {0:?} is not of the form address[/admin address]
#[derive(Debug, Display)]
pub struct TargetError(String);

impl std::error::Error for TargetError {}

impl std::str::FromStr for Target {
    type Err = TargetError;

    fn from_str(text: &str) -> Result<Self, TargetError> {
        let (address, admin) = text.split_once('/').unwrap_or((text, text));
        let parse = |part: &str| part.parse().map_err(|_| TargetError(text.to_owned()));
        let ready = AtomicBool::new(false);
        Ok(Self {
            address: parse(address)?,
            check_address: parse(admin)?,
            ready,
        })
    }
}

/// Settings of the balancer.
#[derive(Debug)]
pub struct BalancerSettings {
    /// Port on loopback; 0 selects a free one.
    pub port: u16,
    /// Entry instances.
    pub targets: Vec<Target>,
    /// Time between two readiness checks.
    pub check_period: Duration,
}

impl BalancerSettings {
    /// Reads the settings from options.
    pub fn from_args(args: &mut pico_args::Arguments) -> Result<Self, ServeError> {
        Ok(Self {
            port: option(args, "--port", 0)?,
            targets: args.values_from_str("--entry")?,
            check_period: millis(args, "--check-ms", 200)?.max(Duration::from_millis(1)),
        })
    }
}

/// Runs the balancer until SIGTERM.
pub async fn run_balancer(settings: BalancerSettings, logger: Logger) -> Result<(), ServeError> {
    let listener = listen(settings.port).await?;
    let targets = Arc::new(settings.targets);
    for index in 0..targets.len() {
        let readiness_checks = readiness_loop(
            Arc::clone(&targets),
            index,
            settings.check_period,
            logger.clone(),
        );
        tokio::spawn(readiness_checks);
    }
    let next_index = Arc::new(AtomicUsize::new(0));
    let server = accept_loop(listener, |mut client| {
        let targets = Arc::clone(&targets);
        let next_index = Arc::clone(&next_index);
        async move {
            let Some(mut server) = connect(&targets, &next_index).await else {
                return;
            };
            // Either side may close at any time.
            let _ = copy_bidirectional(&mut client, &mut server).await;
        }
    });
    tokio::select! {
        () = server => {}
        () = shutdown_signal(&logger) => {}
    }
    Ok(())
}

/// Connects to the next ready target that accepts the connection.
async fn connect(targets: &[Target], next_index: &AtomicUsize) -> Option<TcpStream> {
    for _ in 0..targets.len() {
        let target = &targets[next_index.fetch_add(1, Ordering::Relaxed) % targets.len()];
        if !target.ready.load(Ordering::Relaxed) {
            continue;
        }
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(target.address));
        if let Ok(Ok(stream)) = connected.await {
            let _ = stream.set_nodelay(true);
            return Some(stream);
        }
        target.ready.store(false, Ordering::Relaxed);
    }
    None
}

/// Checks the readiness of a target periodically.
async fn readiness_loop(targets: Arc<Vec<Target>>, index: usize, period: Duration, logger: Logger) {
    let client: Client<HttpConnector, Empty<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let target = &targets[index];
    let Ok(uri) = format!("http://{}/readyz", target.check_address).parse::<Uri>() else {
        return;
    };
    loop {
        let result = tokio::time::timeout(CONNECT_TIMEOUT, client.get(uri.clone())).await;
        let ready = matches!(result, Ok(Ok(response)) if response.status() == StatusCode::OK);
        if target.ready.swap(ready, Ordering::Relaxed) != ready {
            info!(logger, "entry instance"; "address" => %target.address, "ready" => ready);
        }
        tokio::time::sleep(period).await;
    }
}
