//! Proof that both ends of a connection know the peers' secret, without
//! sending it: each end answers the other's nonce.

use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use sha2::Sha256;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Length of a nonce and of an answer, in bytes.
const PART_BYTES: usize = 32;

type Part = [u8; PART_BYTES];

/// Whose answer it is, so that one end's can't be played back as the other's.
#[derive(Clone, Copy)]
enum End {
    Opener,
    Acceptor,
}

/// Proves the secret to the acceptor of a connection and demands its proof.
pub async fn open(socket: &mut TcpStream, secret: &str) -> Result<(), String> {
    let theirs = read(socket).await?;
    let ours: Part = rand::random();
    write(socket, &ours).await?;
    write(socket, &answer(secret, End::Opener, &theirs, &ours)?).await?;
    let told = read(socket).await?;
    verify(secret, End::Acceptor, &theirs, &ours, &told)
}

/// Demands the proof of the opener of a connection, then gives its own.
pub async fn accept(socket: &mut TcpStream, secret: &str) -> Result<(), String> {
    let ours: Part = rand::random();
    write(socket, &ours).await?;
    let theirs = read(socket).await?;
    let told = read(socket).await?;
    verify(secret, End::Opener, &ours, &theirs, &told)?;
    write(socket, &answer(secret, End::Acceptor, &ours, &theirs)?).await
}

fn mac(secret: &str, end: End, acceptor: &Part, opener: &Part) -> Result<Hmac<Sha256>, String> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret.as_bytes()).map_err(|it| it.to_string())?;
    mac.update(match end {
        End::Opener => b"lentilhook opener",
        End::Acceptor => b"lentilhook acceptor",
    });
    mac.update(acceptor);
    mac.update(opener);
    Ok(mac)
}

fn answer(secret: &str, end: End, acceptor: &Part, opener: &Part) -> Result<Part, String> {
    Ok(mac(secret, end, acceptor, opener)?.finalize().into_bytes().into())
}

/// Compares in constant time.
fn verify(
    secret: &str,
    end: End,
    acceptor: &Part,
    opener: &Part,
    told: &Part,
) -> Result<(), String> {
    let wrong = |_| "the peer has another secret; give all daemons the same one".to_owned();
    mac(secret, end, acceptor, opener)?.verify_slice(told).map_err(wrong)
}

async fn read(socket: &mut TcpStream) -> Result<Part, String> {
    let mut part = [0; PART_BYTES];
    socket.read_exact(&mut part).await.map_err(|it| it.to_string())?;
    Ok(part)
}

async fn write(socket: &mut TcpStream, part: &Part) -> Result<(), String> {
    socket.write_all(part).await.map_err(|it| it.to_string())
}
