//! Stand-in for network links, which forwards TCP and UDP between loopback addresses and can cut,
//! delay and heal links.

mod delay_channel;
mod server;
mod settings;
mod state;
mod tcp;
mod udp;

pub use server::run_links;
pub use settings::{LINK_HELP, LinkSettings, Route, RouteError};
pub use state::{Cut, Delay, Direction, Heal, LinkCounters, Reset};
