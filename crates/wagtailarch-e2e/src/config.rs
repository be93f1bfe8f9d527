//! The fleet file and the certificates of a test fleet.

use std::fmt::Write as _;
use std::path::Path;

use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use wagtailarch_types::hash_key;

use crate::HarnessError;

/// Bearer key of the team of test fleets and of their administration API.
pub const KEY: &str = "test-key";
/// Name of the model of test fleets.
pub const MODEL: &str = "fedel";
/// Versions of the model.
pub const VERSIONS: [&str; 2] = ["2026-10", "2026-11"];
/// Name of the group of the engines.
pub const ENGINE_GROUP: &str = "fedel-lm";
/// Name of the group of the plain services.
pub const SERVICE_GROUP: &str = "fedel-app";

/// The values of a fleet file that tests vary.
#[derive(Debug, Clone)]
pub struct FleetFile {
    /// Availability zones.
    pub zones: Vec<String>,
    /// Model version that the engines load.
    pub version: String,
    /// Whether the engines check fencing numbers.
    pub checks_fencing: bool,
    /// Minimum and maximum number of prefill, decode and mixed engines in each zone.
    pub roles: [(u32, u32); 3],
    /// Rate limit of the team.
    pub requests_per_s: f64,
}

impl FleetFile {
    /// Formats the values as a fleet file.
    pub fn to_toml(&self) -> String {
        let mut text = format!(
            "[fleet]\nname = \"test\"\nregion = \"kozep-hu\"\nzones = {:?}\n\n\
             [policy]\ngoodput_weight = 0.8\nrole_change_weight = 0.2\n\
             role_change_cost_s = 3.0\nmix_horizon_s = 120.0\nretry_budget_ratio = 0.1\n\
             retry_budget_floor_per_s = 5.0\n\n\
             [[model]]\nname = \"{MODEL}\"\nversions = {VERSIONS:?}\nadapters = []\n\n\
             [[group]]\nname = \"{ENGINE_GROUP}\"\nkind = \"engine\"\nchecks_fencing = {}\n\
             model = \"{MODEL}\"\nversion = \"{}\"\nadapters = []\nmax_running = 32\n",
            self.zones, self.checks_fencing, self.version
        );
        for (role, (min, max)) in ["prefill", "decode", "mixed"].iter().zip(self.roles) {
            // Writing to a string cannot fail.
            let _ = write!(text, "[group.roles.{role}]\nmin = {min}\nmax = {max}\n");
        }
        let _ = write!(
            text,
            "\n[[group]]\nname = \"{SERVICE_GROUP}\"\nkind = \"service\"\nmax_running = 64\n\n\
             [[service]]\nname = \"lids\"\ngroup = \"{SERVICE_GROUP}\"\npath_prefix = \"/lids/\"\n\
             [[service.route]]\nmethod = \"POST\"\npath = \"/lids/reservations\"\n\
             idempotent = false\n\n\
             [[service]]\nname = \"{MODEL}\"\ngroup = \"{ENGINE_GROUP}\"\nmodel = \"{MODEL}\"\n\n\
             [[team]]\nname = \"tests\"\nkey_hash = \"{}\"\nrequests_per_s = {:.1}\n\
             tokens_per_s = 100000000.0\nweight = 1.0\npriority = \"normal\"\nservices = []\n",
            key_hash(KEY),
            self.requests_per_s
        );
        text
    }
}

/// Returns the hash of a bearer key in the format of the fleet file.
pub(crate) fn key_hash(key: &str) -> String {
    let hex: String = hash_key(key)
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    format!("blake3:{hex}")
}

/// Writes the certificate of an authority, and a certificate and key for each instance with its
/// zone, into `dir`.
pub(crate) fn write_certificates(
    dir: &Path,
    instances: &[(String, String)],
) -> Result<(), HarnessError> {
    let mut params = CertificateParams::new(Vec::new())?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let ca_key = KeyPair::generate()?;
    let ca = params.self_signed(&ca_key)?;
    std::fs::write(dir.join("ca.pem"), ca.pem())?;
    let issuer = Issuer::new(params, ca_key);
    for (instance, zone) in instances {
        let key = KeyPair::generate()?;
        let names = vec![format!("{instance}.{zone}.wagtail")];
        let certificate = CertificateParams::new(names)?.signed_by(&key, &issuer)?;
        std::fs::write(dir.join(format!("{instance}.pem")), certificate.pem())?;
        std::fs::write(dir.join(format!("{instance}.key")), key.serialize_pem())?;
    }
    Ok(())
}
