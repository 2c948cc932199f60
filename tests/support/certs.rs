//! Certificates that daemons trust, made anew for each scenario.

use std::fs;
use std::path::Path;

use rcgen::{
    BasicConstraints, CertificateParams, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};

use super::Failure;

/// The name that every daemon's certificate carries.
const PEER_NAME: &str = "chestnutlane";

/// Writes `trust.pem`, `daemon.pem` and `daemon.key` into a new directory.
pub fn write(dir: &Path) -> Result<(), Failure> {
    fs::create_dir_all(dir).map_err(|error| error.to_string())?;
    make(dir).map_err(|error| format!("the certificates can't be made: {error}"))
}

fn make(dir: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let mut params = CertificateParams::new(Vec::new())?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
    let key = KeyPair::generate()?;
    let authority = params.self_signed(&key)?;
    let issuer = Issuer::new(params, key);
    let mut params = CertificateParams::new(vec![PEER_NAME.to_owned()])?;
    params.extended_key_usages =
        vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
    let key = KeyPair::generate()?;
    let cert = params.signed_by(&key, &issuer)?;
    fs::write(dir.join("trust.pem"), authority.pem())?;
    fs::write(dir.join("daemon.pem"), cert.pem())?;
    fs::write(dir.join("daemon.key"), key.serialize_pem())?;
    Ok(())
}
