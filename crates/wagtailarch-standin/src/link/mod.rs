//! The stand-in of network links: forwards TCP and UDP between loopback addresses, and can be cut,
//! delayed and healed.

mod delay_line;
mod server;
mod settings;
mod state;
mod tcp;
mod udp;

pub use server::run_links;
pub use settings::{LINK_HELP, LinkSettings, Route, RouteError};
pub use state::{Cut, Delay, Direction, Heal, LinkCounters, Reset};
