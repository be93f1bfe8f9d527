//! TLS settings and the check of a peer's name.

use std::{
    path::{Path, PathBuf},
    sync::Arc,
};

use displaydoc::Display;
use quinn::{
    ClientConfig, ServerConfig,
    crypto::rustls::{QuicClientConfig, QuicServerConfig},
};
use rustls::{
    RootCertStore,
    client::verify_server_name,
    crypto::{CryptoProvider, ring},
    pki_types::{CertificateDer, PrivateKeyDer, ServerName, pem::PemObject},
    server::{ParsedCertificate, WebPkiClientVerifier},
    version::TLS13,
};
use wagtailarch_types::{InstanceId, ZoneName};

use crate::settings::PeerKeys;

/// Protocol name of the handshake.
const ALPN: &[u8] = b"wagtail-peer/1";

/// Last part of the name in an instance's certificate.
const NAME_SUFFIX: &str = "wagtail";

/// Why the keys of an instance cannot be used.
#[derive(Debug, Display)]
pub enum TlsError {
    /// cannot read {0:?}: {1}
    File(PathBuf, rustls::pki_types::pem::Error),
    /// the certificates and keys do not fit: {0}
    Config(String),
    /// the certificate {0:?} is not that of instance {1:?}
    WrongName(PathBuf, String),
}

impl std::error::Error for TlsError {}

/// Name of an instance as its certificate holds it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PeerIdentity {
    /// Instance.
    pub instance: InstanceId,
    /// Availability zone.
    pub zone: ZoneName,
}

impl PeerIdentity {
    /// Returns the name in the certificate.
    pub fn name(&self) -> String {
        format!("{}.{}.{NAME_SUFFIX}", self.instance, self.zone)
    }

    /// Tells whether `certificate` is that of this instance in this zone.
    pub fn matches(&self, certificate: &CertificateDer<'_>) -> bool {
        let Ok(name) = ServerName::try_from(self.name()) else {
            return false;
        };
        let parsed = ParsedCertificate::try_from(certificate);
        parsed.is_ok_and(|parsed| verify_server_name(&parsed, &name).is_ok())
    }
}

/// TLS settings of both sides.
pub struct Tls {
    /// For connections that other instances open.
    pub server: ServerConfig,
    /// For connections that this instance opens.
    pub client: ClientConfig,
}

impl Tls {
    /// Reads the PEM files of `keys`, whose certificate must be that of `own`.
    pub fn load(keys: &PeerKeys, own: &PeerIdentity) -> Result<Self, TlsError> {
        let provider = Arc::new(ring::default_provider());
        let mut roots = RootCertStore::empty();
        for certificate in certificates(&keys.ca_file)? {
            roots.add(certificate).map_err(config_error)?;
        }
        let chain = certificates(&keys.cert_file)?;
        if !chain
            .first()
            .is_some_and(|certificate| own.matches(certificate))
        {
            return Err(TlsError::WrongName(keys.cert_file.clone(), own.name()));
        }
        let roots = Arc::new(roots);
        Ok(Self {
            server: server(
                &provider,
                &roots,
                chain.clone(),
                private_key(&keys.key_file)?,
            )?,
            client: client(&provider, &roots, chain, private_key(&keys.key_file)?)?,
        })
    }
}

fn server(
    provider: &Arc<CryptoProvider>,
    roots: &Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<ServerConfig, TlsError> {
    let verifier =
        WebPkiClientVerifier::builder_with_provider(Arc::clone(roots), Arc::clone(provider))
            .build()
            .map_err(config_error)?;
    let mut tls = rustls::ServerConfig::builder_with_provider(Arc::clone(provider))
        .with_protocol_versions(&[&TLS13])
        .map_err(config_error)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain, key)
        .map_err(config_error)?;
    tls.alpn_protocols = vec![ALPN.to_vec()];
    let quic = QuicServerConfig::try_from(tls).map_err(config_error)?;
    Ok(ServerConfig::with_crypto(Arc::new(quic)))
}

fn client(
    provider: &Arc<CryptoProvider>,
    roots: &Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<ClientConfig, TlsError> {
    let mut tls = rustls::ClientConfig::builder_with_provider(Arc::clone(provider))
        .with_protocol_versions(&[&TLS13])
        .map_err(config_error)?
        .with_root_certificates(Arc::clone(roots))
        .with_client_auth_cert(chain, key)
        .map_err(config_error)?;
    tls.alpn_protocols = vec![ALPN.to_vec()];
    let quic = QuicClientConfig::try_from(tls).map_err(config_error)?;
    Ok(ClientConfig::new(Arc::new(quic)))
}

/// Reads all certificates of a PEM file.
pub fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let read = CertificateDer::pem_file_iter(path).and_then(Iterator::collect);
    read.map_err(|error| TlsError::File(path.to_owned(), error))
}

/// Reads the private key of a PEM file.
pub fn private_key(path: &Path) -> Result<PrivateKeyDer<'static>, TlsError> {
    let read = PrivateKeyDer::from_pem_file(path);
    read.map_err(|error| TlsError::File(path.to_owned(), error))
}

fn config_error(error: impl std::fmt::Display) -> TlsError {
    TlsError::Config(error.to_string())
}
