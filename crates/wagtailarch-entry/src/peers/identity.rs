//! TLS configuration and the verification of peer identities.

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

/// ALPN protocol name of the transport.
const ALPN: &[u8] = b"wagtail-peer/1";

/// Last label of the name in an instance's certificate.
const NAME_SUFFIX: &str = "wagtail";

/// Reason why the keys and certificates of an instance cannot be used.
#[derive(Debug, Display)]
pub enum TlsError {
    /// cannot read {0:?}: {1}
    File(PathBuf, rustls::pki_types::pem::Error),
    /// the certificates and keys cannot be used: {0}
    Config(String),
    /// the certificate {0:?} is not that of instance {1:?}
    WrongName(PathBuf, String),
}

impl std::error::Error for TlsError {}

/// Identity of an instance, which its certificate must contain.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PeerIdentity {
    /// Instance.
    pub instance: InstanceId,
    /// Availability zone.
    pub zone: ZoneName,
}

impl PeerIdentity {
    /// Returns the name that the certificate must contain.
    pub fn certificate_name(&self) -> String {
        format!("{}.{}.{NAME_SUFFIX}", self.instance, self.zone)
    }

    /// Returns whether `certificate` is that of this instance in this zone.
    pub fn matches(&self, certificate: &CertificateDer<'_>) -> bool {
        let Ok(name) = ServerName::try_from(self.certificate_name()) else {
            return false;
        };
        let parsed = ParsedCertificate::try_from(certificate);
        parsed.is_ok_and(|parsed| verify_server_name(&parsed, &name).is_ok())
    }
}

/// TLS configurations of both sides of a connection.
pub struct Tls {
    /// For connections that other instances open.
    pub server: ServerConfig,
    /// For connections that this instance opens.
    pub client: ClientConfig,
}

impl Tls {
    /// Reads the PEM files of `keys`, whose certificate must be that of `own_identity`.
    pub fn load(keys: &PeerKeys, own_identity: &PeerIdentity) -> Result<Self, TlsError> {
        let provider = Arc::new(ring::default_provider());
        let mut roots = RootCertStore::empty();
        for certificate in certificates(&keys.ca_file)? {
            roots.add(certificate).map_err(config_error)?;
        }
        let chain = certificates(&keys.cert_file)?;
        if !chain
            .first()
            .is_some_and(|certificate| own_identity.matches(certificate))
        {
            return Err(TlsError::WrongName(
                keys.cert_file.clone(),
                own_identity.certificate_name(),
            ));
        }
        let roots = Arc::new(roots);
        Ok(Self {
            server: server_config(
                &provider,
                &roots,
                chain.clone(),
                private_key(&keys.key_file)?,
            )?,
            client: client_config(&provider, &roots, chain, private_key(&keys.key_file)?)?,
        })
    }
}

fn server_config(
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

fn client_config(
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
    let result = CertificateDer::pem_file_iter(path).and_then(Iterator::collect);
    result.map_err(|error| TlsError::File(path.to_owned(), error))
}

/// Reads the private key of a PEM file.
pub fn private_key(path: &Path) -> Result<PrivateKeyDer<'static>, TlsError> {
    let result = PrivateKeyDer::from_pem_file(path);
    result.map_err(|error| TlsError::File(path.to_owned(), error))
}

fn config_error(error: impl std::fmt::Display) -> TlsError {
    TlsError::Config(error.to_string())
}
