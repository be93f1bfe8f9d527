//! Transport between instances: QUIC with mutual TLS.
//!
//! An instance's certificate has the name `<instance>.<zone>.wagtail`. Each message is one
//! unidirectional stream: its length as a 32-bit little-endian number and its postcard form. A
//! connection begins with [`Hello`](wagtailarch_wire::peer::Hello) in each direction and is used by
//! both sides.

mod connection;
mod identity;
mod keys;
mod transport;

pub use identity::{PeerIdentity, TlsError};
pub(crate) use identity::{certificates, private_key};
pub use keys::{KeyError, create_authority, create_instance_certificate};
pub use transport::{PeerAddress, PeerError, PeerEvent, Peers};
