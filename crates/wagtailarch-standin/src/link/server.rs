//! Process that runs the links and their control API.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use slog::{Logger, info};
use smol_str::SmolStr;
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::JoinSet;

use super::settings::{LinkSettings, Route};
use super::state::{Cut, Delay, Heal, Link, LinkCounters, Reset};
use super::tcp::forward_tcp;
use super::udp::forward_udp;
use crate::serve::{
    Body, ServeError, build_response, json_response, listen, read_json, serve_http, shutdown_signal,
};

/// Number of free TCP ports that are tried for a port that is also free for UDP.
const MAX_BIND_ATTEMPTS: u32 = 16;
/// A free port on loopback.
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Runs the links until SIGTERM.
pub async fn run_links(settings: LinkSettings, logger: Logger) -> Result<(), ServeError> {
    let mut tasks = JoinSet::new();
    let links = start_links(&settings, &mut tasks).await;
    let links = Arc::new(links.map_err(|error| ServeError::Listen(0, error))?);
    let listener = listen(settings.port).await?;
    let log = logger.clone();
    let server = serve_http(listener, move |request| {
        let (links, log) = (Arc::clone(&links), log.clone());
        async move { Ok::<_, io::Error>(handle_control(&links, &log, request).await) }
    });
    tokio::select! {
        () = server => {}
        () = shutdown_signal(&logger) => {}
    }
    Ok(())
}

/// Starts a task for each link.
async fn start_links(
    settings: &LinkSettings,
    tasks: &mut JoinSet<()>,
) -> io::Result<Vec<Arc<Link>>> {
    let mut links = Vec::new();
    for route in &settings.tcp {
        links.push(start_tcp(route, TcpListener::bind(ANY_PORT).await?, tasks)?);
    }
    for route in &settings.udp {
        links.push(start_udp(route, UdpSocket::bind(ANY_PORT).await?, tasks)?);
    }
    for route in &settings.both {
        let (listener, socket) = bind_both().await?;
        links.push(start_tcp(route, listener, tasks)?);
        links.push(start_udp(route, socket, tasks)?);
    }
    Ok(links)
}

fn start_tcp(
    route: &Route,
    listener: TcpListener,
    tasks: &mut JoinSet<()>,
) -> io::Result<Arc<Link>> {
    let address = listener.local_addr()?;
    let link = Arc::new(Link::new(route.name.clone(), address, route.target));
    tasks.spawn(forward_tcp(listener, Arc::clone(&link)));
    Ok(link)
}

fn start_udp(route: &Route, socket: UdpSocket, tasks: &mut JoinSet<()>) -> io::Result<Arc<Link>> {
    let address = socket.local_addr()?;
    let link = Arc::new(Link::new(route.name.clone(), address, route.target));
    tasks.spawn(forward_udp(socket, Arc::clone(&link)));
    Ok(link)
}

/// Binds a TCP and a UDP socket to the same port.
async fn bind_both() -> io::Result<(TcpListener, UdpSocket)> {
    let mut attempts = 0;
    loop {
        let listener = TcpListener::bind(ANY_PORT).await?;
        match UdpSocket::bind(listener.local_addr()?).await {
            Ok(socket) => return Ok((listener, socket)),
            Err(error) if attempts == MAX_BIND_ATTEMPTS => return Err(error),
            Err(_) => attempts += 1,
        }
    }
}

/// Handles a control call.
async fn handle_control(
    links: &[Arc<Link>],
    log: &Logger,
    request: Request<Incoming>,
) -> Response<Body> {
    let (method, path) = (request.method().clone(), request.uri().path().to_owned());
    match (method, path.as_str()) {
        (Method::POST, "/standin/v1/cut") => match read_json::<Cut>(request).await {
            Ok(cut) => {
                info!(log, "cut"; "links" => ?cut.links, "from" => ?cut.from);
                change_links(links, &cut.links, |link| link.cut(&cut))
            }
            Err(refusal) => refusal,
        },
        (Method::POST, "/standin/v1/heal") => match read_json::<Heal>(request).await {
            Ok(heal) => {
                info!(log, "heal"; "links" => ?heal.links);
                change_links(links, &heal.links, Link::heal)
            }
            Err(refusal) => refusal,
        },
        (Method::POST, "/standin/v1/delay") => match read_json::<Delay>(request).await {
            Ok(delay) => {
                info!(log, "delay"; "links" => ?delay.links, "ms" => delay.ms);
                let time = Duration::from_millis(delay.ms);
                change_links(links, &delay.links, |link| link.set_delay(time))
            }
            Err(refusal) => refusal,
        },
        (Method::POST, "/standin/v1/reset") => match read_json::<Reset>(request).await {
            Ok(reset) => {
                info!(log, "reset"; "links" => ?reset.links);
                change_links(links, &reset.links, Link::reset)
            }
            Err(refusal) => refusal,
        },
        (Method::GET, "/standin/v1/counters") => {
            let counters: Vec<LinkCounters> = links.iter().map(|link| link.counters()).collect();
            json_response(StatusCode::OK, &counters)
        }
        _ => build_response(StatusCode::NOT_FOUND, "no such call"),
    }
}

/// Applies a change to the named links, or to all if `names` is empty.
///
/// If a name is unknown, no link is changed.
fn change_links(links: &[Arc<Link>], names: &[SmolStr], change: impl Fn(&Link)) -> Response<Body> {
    for name in names {
        if !links.iter().any(|link| link.name == *name) {
            let text = format!("link {name:?} does not exist");
            return build_response(StatusCode::NOT_FOUND, text);
        }
    }
    for link in links {
        if names.is_empty() || names.contains(&link.name) {
            change(link);
        }
    }
    build_response(StatusCode::NO_CONTENT, "")
}
