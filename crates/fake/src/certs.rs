//! Certificates that the daemons of a test or demo trust, generated for each run.

use std::path::Path;

use rcgen::{
    BasicConstraints, CertificateParams, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};

/// The DNS name in every daemon's certificate.
const PEER_NAME: &str = "chestnutlane";

/// Generates a certificate authority and a daemon certificate, and writes `trust.pem`,
/// `daemon.pem` and `daemon.key` into a directory.
pub fn write(dir: &Path) -> std::io::Result<()> {
    for (name, text) in generate().map_err(std::io::Error::other)? {
        std::fs::write(dir.join(name), text)?;
    }
    Ok(())
}

fn generate() -> Result<[(&'static str, String); 3], rcgen::Error> {
    let mut params = CertificateParams::new(Vec::new())?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
    let authority_key = KeyPair::generate()?;
    let authority = params.self_signed(&authority_key)?;
    let issuer = Issuer::new(params, authority_key);
    let mut params = CertificateParams::new(vec![PEER_NAME.to_owned()])?;
    params.extended_key_usages =
        vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
    let key = KeyPair::generate()?;
    let cert = params.signed_by(&key, &issuer)?;
    Ok([
        ("trust.pem", authority.pem()),
        ("daemon.pem", cert.pem()),
        ("daemon.key", key.serialize_pem()),
    ])
}
