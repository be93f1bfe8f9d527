//! TLS for client connections.

use std::{sync::Arc, time::Duration};

use rustls::{crypto::ring, version::TLS13};
use tokio::time::timeout;
use tokio_rustls::{TlsAcceptor, server::TlsStream};

use crate::{
    client_io::ClientIo,
    peers::{TlsError, certificates, private_key},
    settings::ClientTls,
};

/// Accepts TLS handshakes of clients; offers HTTP/2 and HTTP/1.1 by ALPN.
#[derive(Clone)]
pub struct ClientAcceptor(TlsAcceptor);

impl ClientAcceptor {
    /// Creates an acceptor from the PEM files in the settings.
    pub fn load(files: &ClientTls) -> Result<Self, TlsError> {
        let chain = certificates(&files.cert_file)?;
        let key = private_key(&files.key_file)?;
        let config_error = |error: rustls::Error| TlsError::Config(error.to_string());
        let provider = Arc::new(ring::default_provider());
        let mut tls = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&TLS13])
            .map_err(config_error)?
            .with_no_client_auth()
            .with_single_cert(chain, key)
            .map_err(config_error)?;
        tls.alpn_protocols = vec![b"h2".to_vec(), b"http/1.1".to_vec()];
        Ok(Self(TlsAcceptor::from(Arc::new(tls))))
    }

    /// Performs the handshake of one connection.
    ///
    /// Returns `None` if it fails or takes longer than `time_limit`.
    pub async fn accept(&self, io: ClientIo, time_limit: Duration) -> Option<TlsStream<ClientIo>> {
        timeout(time_limit, self.0.accept(io)).await.ok()?.ok()
    }
}
