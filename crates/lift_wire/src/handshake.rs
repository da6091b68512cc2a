//! Start of a connection.

use error_stack::ResultExt as _;
use io::{AsyncReadExt as _, AsyncWriteExt as _};
use rand::RngExt as _;
use subtle::ConstantTimeEq as _;
use tokio::{io, net};

use crate::{frame_reader, frame_writer, hello, link_key, link_keys, purpose, session, wire_error};

/// Reader and writer of one connection.
type Ends = (
    frame_reader::FrameReader<net::tcp::OwnedReadHalf>,
    frame_writer::FrameWriter<net::tcp::OwnedWriteHalf>,
);

/// Longest first message, in bytes.
const MAX_HELLO_BYTES: usize = 256;

/// Length of a proof of the key, in bytes.
const PROOF_BYTES: usize = 32;

/// Opens a session on a connection that this end opened. The caller limits the time.
///
/// # Errors
///
/// Returns an error where the other end has another version, key or purpose.
pub async fn connect(
    mut stream: net::TcpStream,
    keys: &link_keys::LinkKeys,
    purpose: purpose::Purpose,
) -> Result<Ends, error_stack::Report<wire_error::WireError>> {
    stream
        .set_nodelay(true)
        .change_context(wire_error::WireError::Closed)?;
    let key = keys.current();
    let client = hello_of(key, purpose);
    write_hello(&mut stream, &client).await?;
    let server = read_hello(&mut stream).await?;
    check_version(&server)?;
    read_proof(&mut stream, key, b"server proof", &client, &server).await?;
    write_proof(&mut stream, key, b"client proof", &client, &server).await?;
    let session = session::Session::derive(key, &client, &server);
    let (read, write) = stream.into_split();
    let reader = frame_reader::FrameReader::new(read, session.from_server);
    let writer = frame_writer::FrameWriter::new(write, session.from_client);
    Ok((reader, writer))
}

/// Opens a session on a connection that this end accepted. The caller limits the time.
///
/// # Errors
///
/// Returns an error where the other end has another version, key or purpose.
pub async fn accept(
    mut stream: net::TcpStream,
    keys: &link_keys::LinkKeys,
    purpose: purpose::Purpose,
) -> Result<Ends, error_stack::Report<wire_error::WireError>> {
    stream
        .set_nodelay(true)
        .change_context(wire_error::WireError::Closed)?;
    let client = read_hello(&mut stream).await?;
    let own = hello_of(keys.current(), purpose);
    if client.version != crate::WIRE_VERSION {
        // The other end learns our version, so that it can report the mismatch too.
        write_hello(&mut stream, &own).await?;
        check_version(&client)?;
    }
    if client.purpose != purpose {
        return Err(error_stack::Report::new(wire_error::WireError::Purpose {
            found: client.purpose,
        }));
    }
    let key = keys.find(client.key_id)?;
    let server = hello::Hello {
        key_id: key.id(),
        ..own
    };
    write_hello(&mut stream, &server).await?;
    write_proof(&mut stream, key, b"server proof", &client, &server).await?;
    read_proof(&mut stream, key, b"client proof", &client, &server).await?;
    let session = session::Session::derive(key, &client, &server);
    let (read, write) = stream.into_split();
    let reader = frame_reader::FrameReader::new(read, session.from_client);
    let writer = frame_writer::FrameWriter::new(write, session.from_server);
    Ok((reader, writer))
}

fn hello_of(key: &link_key::LinkKey, purpose: purpose::Purpose) -> hello::Hello {
    hello::Hello {
        version: crate::WIRE_VERSION,
        key_id: key.id(),
        nonce: rand::rng().random(),
        purpose,
    }
}

fn check_version(other: &hello::Hello) -> Result<(), error_stack::Report<wire_error::WireError>> {
    if other.version == crate::WIRE_VERSION {
        return Ok(());
    }
    Err(error_stack::Report::new(wire_error::WireError::Version {
        found: other.version,
    }))
}

fn proof(
    key: &link_key::LinkKey,
    label: &[u8; 12],
    client: &hello::Hello,
    server: &hello::Hello,
) -> [u8; PROOF_BYTES] {
    key.hash(&[label, &client.nonce, &server.nonce])
}

async fn write_hello(
    stream: &mut net::TcpStream,
    hello: &hello::Hello,
) -> Result<(), error_stack::Report<wire_error::WireError>> {
    let payload = postcard::to_stdvec(hello).change_context(wire_error::WireError::Encode)?;
    stream
        .write_u16_le(payload.len() as u16)
        .await
        .change_context(wire_error::WireError::Closed)?;
    stream
        .write_all(&payload)
        .await
        .change_context(wire_error::WireError::Closed)
}

async fn read_hello(
    stream: &mut net::TcpStream,
) -> Result<hello::Hello, error_stack::Report<wire_error::WireError>> {
    let length = stream
        .read_u16_le()
        .await
        .change_context(wire_error::WireError::Closed)? as usize;
    if length > MAX_HELLO_BYTES {
        return Err(error_stack::Report::new(wire_error::WireError::Decode));
    }
    let mut buf = vec![0; length];
    stream
        .read_exact(&mut buf)
        .await
        .change_context(wire_error::WireError::Closed)?;
    postcard::from_bytes(&buf).change_context(wire_error::WireError::Decode)
}

async fn write_proof(
    stream: &mut net::TcpStream,
    key: &link_key::LinkKey,
    label: &[u8; 12],
    client: &hello::Hello,
    server: &hello::Hello,
) -> Result<(), error_stack::Report<wire_error::WireError>> {
    let proof = proof(key, label, client, server);
    stream
        .write_all(&proof)
        .await
        .change_context(wire_error::WireError::Closed)
}

async fn read_proof(
    stream: &mut net::TcpStream,
    key: &link_key::LinkKey,
    label: &[u8; 12],
    client: &hello::Hello,
    server: &hello::Hello,
) -> Result<(), error_stack::Report<wire_error::WireError>> {
    let mut found = [0; PROOF_BYTES];
    stream
        .read_exact(&mut found)
        .await
        .change_context(wire_error::WireError::Closed)?;
    if bool::from(found.ct_eq(&proof(key, label, client, server))) {
        return Ok(());
    }
    Err(error_stack::Report::new(wire_error::WireError::Proof))
}
