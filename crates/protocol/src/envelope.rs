//! Authentication of messages between daemons.
//!
//! A sealed message consists of the name of the mesh, a keyed BLAKE3 hash, and the body. The hash
//! covers the name and the body. A message from another mesh, one that was modified, and one from
//! a sender without the key are all refused before any part of the body is decoded; a message
//! from another mesh gets an error of its own.

use blake3::Hasher;
use rmp_serde::config::BytesMode;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Largest sealed message that is sent or accepted, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;
const HASH_BYTES: usize = 32;
/// Context of the key derivation; daemons with different contexts refuse each other's messages.
const KEY_CONTEXT: &str = "rosemaryfork daemon messages v1";

/// Reason for which a message cannot be sealed or opened.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum EnvelopeError {
    /// The sealed message is larger than [`MAX_MESSAGE_BYTES`].
    #[snafu(display("message of {size} bytes exceeds {MAX_MESSAGE_BYTES}"))]
    Oversized {
        /// Size of the sealed message, in bytes.
        size: usize,
    },
    /// The message cannot be encoded or decoded as MessagePack.
    #[snafu(display("malformed message: {message}"))]
    Malformed {
        /// Error of the MessagePack library.
        message: String,
    },
    /// The message belongs to another mesh.
    #[snafu(display("message of mesh \"{mesh}\""))]
    ForeignMesh {
        /// Name of the mesh that the message claims to belong to.
        mesh: String,
    },
    /// The hash does not match: the sender has another key, or the message was modified.
    #[snafu(display("message with a wrong key"))]
    WrongKey,
}

/// Result of sealing or opening a message.
pub type Result<T> = std::result::Result<T, EnvelopeError>;

/// Name of a mesh and the key by which its messages are authenticated.
#[derive(Clone)]
pub struct MeshKey {
    mesh: String,
    key: [u8; HASH_BYTES],
}

impl std::fmt::Debug for MeshKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "MeshKey({})", self.mesh)
    }
}

#[derive(Serialize, Deserialize)]
struct Sealed {
    mesh: String,
    hash: Vec<u8>,
    body: Vec<u8>,
}

impl MeshKey {
    /// Derives the key of `mesh` from the secret shared by its daemons.
    pub fn new(mesh: &str, secret: &str) -> MeshKey {
        MeshKey {
            mesh: mesh.to_owned(),
            key: blake3::derive_key(KEY_CONTEXT, secret.as_bytes()),
        }
    }

    /// Returns the keyed hash of `text`, in hexadecimal.
    pub fn sign(&self, text: &str) -> String {
        self.hash(text.as_bytes()).to_hex().to_string()
    }

    /// Returns whether `signature` is the keyed hash of `text`.
    ///
    /// Hashes are compared in constant time.
    pub fn is_signed(&self, text: &str, signature: &str) -> bool {
        blake3::Hash::from_hex(signature).is_ok_and(|hash| hash == self.hash(text.as_bytes()))
    }

    fn hash(&self, body: &[u8]) -> blake3::Hash {
        let mut hasher = Hasher::new_keyed(&self.key);
        hasher.update(&(self.mesh.len() as u64).to_le_bytes());
        hasher.update(self.mesh.as_bytes());
        hasher.update(body);
        hasher.finalize()
    }
}

/// Encodes `message` as MessagePack and seals it with `key`.
///
/// # Errors
///
/// Returns [`EnvelopeError::Oversized`] if the sealed message exceeds [`MAX_MESSAGE_BYTES`].
pub fn seal<T: Serialize>(key: &MeshKey, message: &T) -> Result<Vec<u8>> {
    let body = encode(message)?;
    let sealed = encode(&Sealed {
        mesh: key.mesh.clone(),
        hash: key.hash(&body).as_bytes().to_vec(),
        body,
    })?;
    match sealed.len() > MAX_MESSAGE_BYTES {
        true => Err(EnvelopeError::Oversized { size: sealed.len() }),
        false => Ok(sealed),
    }
}

/// Authenticates and decodes a sealed message.
///
/// # Errors
///
/// Returns an [`EnvelopeError`] if the message is oversized, malformed, from another mesh, or
/// sealed with another key.
pub fn open<T: DeserializeOwned>(key: &MeshKey, bytes: &[u8]) -> Result<T> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(EnvelopeError::Oversized { size: bytes.len() });
    }
    let sealed: Sealed = decode(bytes)?;
    if sealed.mesh != key.mesh {
        return Err(EnvelopeError::ForeignMesh { mesh: sealed.mesh });
    }
    let hash: [u8; HASH_BYTES] = sealed
        .hash
        .try_into()
        .map_err(|_| EnvelopeError::WrongKey)?;
    if blake3::Hash::from_bytes(hash) != key.hash(&sealed.body) {
        return Err(EnvelopeError::WrongKey);
    }
    decode(&sealed.body)
}

fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let mut serializer = rmp_serde::Serializer::new(&mut bytes).with_bytes(BytesMode::ForceAll);
    value
        .serialize(&mut serializer)
        .map_err(|e| EnvelopeError::Malformed {
            message: e.to_string(),
        })?;
    Ok(bytes)
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    rmp_serde::from_slice(bytes).map_err(|e| EnvelopeError::Malformed {
        message: e.to_string(),
    })
}
