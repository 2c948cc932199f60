//! Keys and trust between daemons.
//!
//! Both sides of a connection show a certificate that one of the trusted
//! authorities signed. Without it a process on the network could hand out
//! requests or pose as a lead; a daemon whose certificate is not trusted is
//! refused in the handshake, before it can send a message.

use std::fmt::{self, Display, Formatter};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use chestnut_config::settings::Tls;
use error_stack::{Report, ResultExt};
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{ClientConfig, IdleTimeout, ServerConfig, TransportConfig, VarInt};
use rustls::RootCertStore;
use rustls::server::WebPkiClientVerifier;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};

/// The name that every daemon's certificate must carry.
pub const PEER_NAME: &str = "chestnutlane";

/// The protocol name in the handshake; it changes when messages do.
const ALPN: &[u8] = b"chestnutlane/1";

/// How long an unused connection between daemons is kept.
///
/// Connections send nothing while unused, so that thousands of them cost no
/// traffic; whether a peer lives shows in the answers to requests.
const IDLE: Duration = Duration::from_secs(60);

/// Streams that a peer may have open to this daemon at the same time.
const STREAMS: u32 = 4096;

/// Keys or trust that can't be used.
#[derive(Debug)]
pub struct TlsError(String);

impl Display for TlsError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}; write PEM files and name them under `tls` in the settings", self.0)
    }
}

impl std::error::Error for TlsError {}

/// The two configurations of a QUIC endpoint.
pub struct PeerTls {
    /// For connections from other daemons.
    pub server: ServerConfig,
    /// For connections to other daemons.
    pub client: ClientConfig,
}

/// Reads keys and trust from the files that the settings name.
pub fn load(tls: &Tls) -> Result<PeerTls, Report<TlsError>> {
    let chain = certs(&tls.cert)?;
    let mut roots = RootCertStore::empty();
    for cert in certs(&tls.trusted_cas)? {
        roots
            .add(cert)
            .change_context_lazy(|| fault("is no authority", &tls.trusted_cas))?;
    }
    let roots = Arc::new(roots);
    let key = PrivateKeyDer::from_pem_file(&tls.key)
        .change_context_lazy(|| fault("holds no private key", &tls.key))?;
    let refused = || fault("does not fit its key", &tls.cert);

    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier =
        WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone())
            .build()
            .change_context_lazy(|| fault("holds no authority", &tls.trusted_cas))?;
    let mut server = rustls::ServerConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .change_context_lazy(refused)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain.clone(), key.clone_key())
        .change_context_lazy(refused)?;
    server.alpn_protocols = vec![ALPN.to_vec()];
    let mut client = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .change_context_lazy(refused)?
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, key)
        .change_context_lazy(refused)?;
    client.alpn_protocols = vec![ALPN.to_vec()];

    let transport = Arc::new(transport());
    let server = QuicServerConfig::try_from(server).change_context_lazy(refused)?;
    let mut server = ServerConfig::with_crypto(Arc::new(server));
    server.transport_config(transport.clone());
    let client = QuicClientConfig::try_from(client).change_context_lazy(refused)?;
    let mut client = ClientConfig::new(Arc::new(client));
    client.transport_config(transport);
    Ok(PeerTls { server, client })
}

fn transport() -> TransportConfig {
    let mut transport = TransportConfig::default();
    let idle = IdleTimeout::try_from(IDLE).expect("a minute fits");
    transport.max_idle_timeout(Some(idle));
    transport.max_concurrent_bidi_streams(VarInt::from_u32(STREAMS));
    transport
}

fn certs(path: &Path) -> Result<Vec<CertificateDer<'static>>, Report<TlsError>> {
    let read = CertificateDer::pem_file_iter(path)
        .change_context_lazy(|| fault("can't be read", path))?;
    let certs: Vec<_> = read
        .collect::<Result<_, _>>()
        .change_context_lazy(|| fault("holds a broken certificate", path))?;
    if certs.is_empty() {
        return Err(Report::new(fault("holds no certificate", path)));
    }
    Ok(certs)
}

fn fault(what: &str, path: &Path) -> TlsError {
    TlsError(format!("{} {what}", path.display()))
}
