//! Making of the keys between instances, for operators and tests.

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

/// File names of the authority.
const CA_CERT: &str = "ca.pem";
const CA_KEY: &str = "ca.key";

/// Why keys could not be made.
#[derive(Debug, Display)]
pub enum KeyError {
    /// cannot access {0:?}: {1}
    File(PathBuf, io::Error),
    /// cannot make a certificate: {0}
    Certificate(rcgen::Error),
}

impl std::error::Error for KeyError {}

/// Makes an authority: `ca.pem` and `ca.key` in `directory`; existing files are kept.
///
/// `until` is the year, month and day of its end, which is also that of its instances.
pub fn create_authority(directory: &Path, until: (i32, u8, u8)) -> Result<(), KeyError> {
    let key = KeyPair::generate().map_err(KeyError::Certificate)?;
    let mut params = params(Vec::new(), "wagtail authority", until)?;
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    let certificate = params.self_signed(&key).map_err(KeyError::Certificate)?;
    write_new(&directory.join(CA_KEY), &key.serialize_pem())?;
    write_new(&directory.join(CA_CERT), &certificate.pem())
}

/// Makes the key of an instance: `<instance>.pem` and `<instance>.key` in `directory`, signed by
/// the authority there; existing files are kept.
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
    let mut params = params(vec![identity.name()], &identity.name(), until)?;
    params.extended_key_usages = vec![
        ExtendedKeyUsagePurpose::ServerAuth,
        ExtendedKeyUsagePurpose::ClientAuth,
    ];
    let certificate = params
        .signed_by(&key, &issuer)
        .map_err(KeyError::Certificate)?;
    let file = |kind: &str| directory.join(format!("{}.{kind}", identity.instance));
    write_new(&file("key"), &key.serialize_pem())?;
    write_new(&file("pem"), &certificate.pem())
}

fn params(
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

/// Writes a file that only its owner can read, and that must not exist.
fn write_new(path: &Path, text: &str) -> Result<(), KeyError> {
    let file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(0o600)
        .open(path);
    file.and_then(|mut file| file.write_all(text.as_bytes()))
        .map_err(|error| KeyError::File(path.to_owned(), error))
}
