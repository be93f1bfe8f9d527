//! Creation of the keys and certificates for connections between instances.

use std::{
    fs::OpenOptions,
    io::{self, Write},
    os::unix::fs::OpenOptionsExt,
    path::{Path, PathBuf},
};

use displaydoc::Display;
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose, date_time_ymd,
};

use super::identity::PeerIdentity;

/// File name of the authority's certificate.
const CA_CERT: &str = "ca.pem";
/// File name of the authority's private key.
const CA_KEY: &str = "ca.key";

/// Reason why keys and certificates could not be created.
#[derive(Debug, Display)]
pub enum KeyError {
    /// cannot access {0:?}: {1}
    File(PathBuf, io::Error),
    /// cannot create a certificate: {0}
    Certificate(rcgen::Error),
}

impl std::error::Error for KeyError {}

/// Creates a certificate authority: the files `ca.pem` and `ca.key` in `directory`. Existing files
/// are not overwritten.
///
/// `until` is the year, month and day at which its certificate expires. The certificates that it
/// signs are not valid for longer.
pub fn create_authority(directory: &Path, until: (i32, u8, u8)) -> Result<(), KeyError> {
    let key = KeyPair::generate().map_err(KeyError::Certificate)?;
    let mut params = certificate_params(Vec::new(), "wagtail authority", until)?;
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    let certificate = params.self_signed(&key).map_err(KeyError::Certificate)?;
    write_new(&directory.join(CA_KEY), &key.serialize_pem())?;
    write_new(&directory.join(CA_CERT), &certificate.pem())
}

/// Creates the key and certificate of an instance: the files `<instance>.key` and `<instance>.pem`
/// in `directory`, signed by the authority there. Existing files are not overwritten.
pub fn create_instance_certificate(
    directory: &Path,
    identity: &PeerIdentity,
    until: (i32, u8, u8),
) -> Result<(), KeyError> {
    let ca_key = KeyPair::from_pem(&read(&directory.join(CA_KEY))?);
    let ca_key = ca_key.map_err(KeyError::Certificate)?;
    let issuer = Issuer::from_ca_cert_pem(&read(&directory.join(CA_CERT))?, ca_key);
    let issuer = issuer.map_err(KeyError::Certificate)?;
    let key = KeyPair::generate().map_err(KeyError::Certificate)?;
    let mut params = certificate_params(
        vec![identity.certificate_name()],
        &identity.certificate_name(),
        until,
    )?;
    params.extended_key_usages = vec![
        ExtendedKeyUsagePurpose::ServerAuth,
        ExtendedKeyUsagePurpose::ClientAuth,
    ];
    let certificate = params
        .signed_by(&key, &issuer)
        .map_err(KeyError::Certificate)?;
    let path = |kind: &str| directory.join(format!("{}.{kind}", identity.instance));
    write_new(&path("key"), &key.serialize_pem())?;
    write_new(&path("pem"), &certificate.pem())
}

fn certificate_params(
    names: Vec<String>,
    common_name: &str,
    (year, month, day): (i32, u8, u8),
) -> Result<CertificateParams, KeyError> {
    let mut params = CertificateParams::new(names).map_err(KeyError::Certificate)?;
    params
        .distinguished_name
        .push(DnType::CommonName, common_name);
    params.not_before = date_time_ymd(2025, 1, 1);
    params.not_after = date_time_ymd(year, month, day);
    Ok(params)
}

fn read(path: &Path) -> Result<String, KeyError> {
    std::fs::read_to_string(path).map_err(|error| KeyError::File(path.to_owned(), error))
}

/// Creates a file that only its owner can read; fails if the file exists.
fn write_new(path: &Path, text: &str) -> Result<(), KeyError> {
    let file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(0o600)
        .open(path);
    file.and_then(|mut file| file.write_all(text.as_bytes()))
        .map_err(|error| KeyError::File(path.to_owned(), error))
}
