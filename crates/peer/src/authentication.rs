//! Mutual authentication of both ends of a connection by challenge and response:
//! each end proves that it knows the shared secret by authenticating the other's
//! nonce, so the secret itself is never sent.

use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use sha2::Sha256;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Length of a nonce and of a proof, in bytes.
const TOKEN_BYTES: usize = 32;

/// A nonce or a proof.
type Token = [u8; TOKEN_BYTES];

/// The end that makes a proof. It is part of the proof, so that one end's proof
/// cannot be replayed as the other's.
#[derive(Clone, Copy)]
enum End {
    Opener,
    Acceptor,
}

/// Authenticates as the opener of a connection and verifies the acceptor's proof.
/// Fails if the socket breaks or the acceptor has another secret.
pub async fn open(socket: &mut TcpStream, secret: &str) -> Result<(), String> {
    let peer_nonce = read(socket).await?;
    let own_nonce: Token = rand::random();
    write(socket, &own_nonce).await?;
    write(socket, &prove(secret, End::Opener, &peer_nonce, &own_nonce)?).await?;
    let proof = read(socket).await?;
    verify(secret, End::Acceptor, &peer_nonce, &own_nonce, &proof)
}

/// Verifies the proof of the opener of a connection, then sends the acceptor's own.
/// Fails if the socket breaks or the opener has another secret.
pub async fn accept(socket: &mut TcpStream, secret: &str) -> Result<(), String> {
    let own_nonce: Token = rand::random();
    write(socket, &own_nonce).await?;
    let peer_nonce = read(socket).await?;
    let proof = read(socket).await?;
    verify(secret, End::Opener, &own_nonce, &peer_nonce, &proof)?;
    write(socket, &prove(secret, End::Acceptor, &own_nonce, &peer_nonce)?).await
}

/// Computes the MAC of one end over both nonces.
fn mac(
    secret: &str,
    end: End,
    acceptor_nonce: &Token,
    opener_nonce: &Token,
) -> Result<Hmac<Sha256>, String> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret.as_bytes()).map_err(|it| it.to_string())?;
    mac.update(match end {
        End::Opener => b"lentilhook opener",
        End::Acceptor => b"lentilhook acceptor",
    });
    mac.update(acceptor_nonce);
    mac.update(opener_nonce);
    Ok(mac)
}

/// Returns the proof of one end.
fn prove(
    secret: &str,
    end: End,
    acceptor_nonce: &Token,
    opener_nonce: &Token,
) -> Result<Token, String> {
    Ok(mac(secret, end, acceptor_nonce, opener_nonce)?.finalize().into_bytes().into())
}

/// Verifies the proof of one end; compares in constant time.
fn verify(
    secret: &str,
    end: End,
    acceptor_nonce: &Token,
    opener_nonce: &Token,
    proof: &Token,
) -> Result<(), String> {
    let mismatch = |_| "the peer has another secret; give all daemons the same one".to_owned();
    mac(secret, end, acceptor_nonce, opener_nonce)?.verify_slice(proof).map_err(mismatch)
}

async fn read(socket: &mut TcpStream) -> Result<Token, String> {
    let mut token = [0; TOKEN_BYTES];
    socket.read_exact(&mut token).await.map_err(|it| it.to_string())?;
    Ok(token)
}

async fn write(socket: &mut TcpStream, token: &Token) -> Result<(), String> {
    socket.write_all(token).await.map_err(|it| it.to_string())
}
