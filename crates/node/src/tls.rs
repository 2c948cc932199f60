//! Mutual TLS between daemons.
//!
//! Both sides of a connection present a certificate that a trusted authority signed.
//! Without it any process on the network could send requests or pose as a lead. A daemon
//! whose certificate is not trusted is refused in the handshake, before it can send a
//! message.

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

/// The DNS name that every daemon's certificate has to contain.
pub const PEER_NAME: &str = "chestnutlane";

/// The protocol name in the handshake; its number changes when messages do.
const ALPN: &[u8] = b"chestnutlane/1";

/// How long an idle connection between daemons stays open.
///
/// Idle connections send no keep-alives, so that thousands of them cost no traffic; an
/// unresponsive peer is detected when the heartbeats of a response stop.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// The number of streams that a peer may have open on a connection at the same time.
const MAX_STREAMS: u32 = 4096;

/// The number of handshakes that wait to be begun, and the bytes that each may have sent.
const MAX_INCOMING: usize = 256;
const INCOMING_BYTES: u64 = 8 * 1024;

/// A file with certificates or keys that can't be used.
#[derive(Debug)]
pub struct TlsError(String);

impl Display for TlsError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}; provide PEM files and name them under `tls` in the settings",
            self.0
        )
    }
}

impl std::error::Error for TlsError {}

/// The QUIC configurations of a daemon's endpoint.
pub struct PeerTls {
    /// For connections from other daemons.
    pub server: ServerConfig,
    /// For connections to other daemons.
    pub client: ClientConfig,
}

/// Reads certificates, trusted authorities and the key from the files in the settings.
pub fn load(tls: &Tls) -> Result<PeerTls, Report<TlsError>> {
    let chain = certs(&tls.cert)?;
    let mut roots = RootCertStore::empty();
    for cert in certs(&tls.trusted_cas)? {
        roots.add(cert).change_context_lazy(|| {
            tls_error(
                "contains a certificate that can't be used as a CA",
                &tls.trusted_cas,
            )
        })?;
    }
    let roots = Arc::new(roots);
    let key = PrivateKeyDer::from_pem_file(&tls.key)
        .change_context_lazy(|| tls_error("contains no private key", &tls.key))?;
    let mismatch = || tls_error("does not match its key", &tls.cert);

    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier =
        WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone())
            .build()
            .change_context_lazy(|| {
                tls_error("contains no CA certificate", &tls.trusted_cas)
            })?;
    let mut server = rustls::ServerConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .change_context_lazy(mismatch)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain.clone(), key.clone_key())
        .change_context_lazy(mismatch)?;
    server.alpn_protocols = vec![ALPN.to_vec()];
    let mut client = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .change_context_lazy(mismatch)?
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, key)
        .change_context_lazy(mismatch)?;
    client.alpn_protocols = vec![ALPN.to_vec()];

    let transport = Arc::new(transport());
    let server = QuicServerConfig::try_from(server).change_context_lazy(mismatch)?;
    let mut server = ServerConfig::with_crypto(Arc::new(server));
    server.transport_config(transport.clone());
    server.max_incoming(MAX_INCOMING);
    server.incoming_buffer_size(INCOMING_BYTES);
    server.incoming_buffer_size_total(MAX_INCOMING as u64 * INCOMING_BYTES);
    let client = QuicClientConfig::try_from(client).change_context_lazy(mismatch)?;
    let mut client = ClientConfig::new(Arc::new(client));
    client.transport_config(transport);
    Ok(PeerTls { server, client })
}

fn transport() -> TransportConfig {
    let mut transport = TransportConfig::default();
    let idle = IdleTimeout::try_from(IDLE_TIMEOUT)
        .expect("the timeout is within the range of a varint");
    transport.max_idle_timeout(Some(idle));
    transport.max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS));
    transport
}

fn certs(path: &Path) -> Result<Vec<CertificateDer<'static>>, Report<TlsError>> {
    let items = CertificateDer::pem_file_iter(path)
        .change_context_lazy(|| tls_error("can't be read", path))?;
    let certs: Vec<_> = items
        .collect::<Result<_, _>>()
        .change_context_lazy(|| tls_error("contains a malformed certificate", path))?;
    if certs.is_empty() {
        return Err(Report::new(tls_error("contains no certificate", path)));
    }
    Ok(certs)
}

fn tls_error(problem: &str, path: &Path) -> TlsError {
    TlsError(format!("{} {problem}", path.display()))
}
