//! Settings of the links.

use std::net::SocketAddr;

use displaydoc::Display;
use smol_str::SmolStr;

use crate::engine::settings::option;
use crate::serve::ServeError;

/// Help text of the options.
pub const LINK_HELP: &str = "\
OPTIONS:
  --port <N>               control API port on loopback; 0 selects a free port and prints it [0]
  --tcp <NAME=TARGET>      link for TCP connections to TARGET (repeatable)
  --udp <NAME=TARGET>      link for UDP datagrams to TARGET (repeatable)
  --both <NAME=TARGET>     links for both to TARGET at one port (repeatable)

Each link listens on its own loopback port, which is part of its counters.

CONTROL API:
  POST /standin/v1/cut     {links, from, refuse, only}   drops or stalls data of the senders `from`,
                           only in the direction `only` (to_target, to_source) if given;
                           an empty list means all
  POST /standin/v1/heal    {links}
  POST /standin/v1/delay   {links, ms}             delays each direction
  POST /standin/v1/reset   {links}                 resets TCP connections
  GET  /standin/v1/counters";

/// the link {0:?} is not of the form name=address
#[derive(Debug, Display)]
pub struct RouteError(String);

impl std::error::Error for RouteError {}

/// Name and target of a link.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name in the control API.
    pub name: SmolStr,
    /// Address that the link forwards to.
    pub target: SocketAddr,
}

impl std::str::FromStr for Route {
    type Err = RouteError;

    fn from_str(text: &str) -> Result<Self, RouteError> {
        let invalid = || RouteError(text.to_owned());
        let (name, target) = text.split_once('=').ok_or_else(invalid)?;
        Ok(Self {
            name: name.into(),
            target: target.parse().map_err(|_| invalid())?,
        })
    }
}

/// Settings of the links.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LinkSettings {
    /// Port of the control API on loopback; 0 selects a free one.
    pub port: u16,
    /// Links for TCP connections.
    pub tcp: Vec<Route>,
    /// Links for UDP datagrams.
    pub udp: Vec<Route>,
    /// Links for both, which share a name and a port.
    pub both: Vec<Route>,
}

impl LinkSettings {
    /// Reads the settings from options.
    pub fn from_args(args: &mut pico_args::Arguments) -> Result<Self, ServeError> {
        Ok(Self {
            port: option(args, "--port", 0)?,
            tcp: args.values_from_str("--tcp")?,
            udp: args.values_from_str("--udp")?,
            both: args.values_from_str("--both")?,
        })
    }
}
