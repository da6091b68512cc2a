//! A token as it is stored.

use subtle::ConstantTimeEq as _;

use crate::token_role;

/// Length of a salt in bytes.
const SALT_BYTES: usize = 32;

/// Length of a token in bytes, before it is written in hexadecimal digits. At 256 random
/// bits a fast hash is enough: there is nothing to guess.
const TOKEN_BYTES: usize = 32;

/// Name, role and salted hash of a token. The token itself is not stored.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TokenRecord {
    /// Who holds the token. It goes into the audit log.
    pub name: String,
    /// What the holder may do.
    pub role: token_role::TokenRole,
    /// Random salt, 64 hexadecimal digits.
    pub salt: String,
    /// BLAKE3 hash of the token, keyed with the salt, 64 hexadecimal digits.
    pub hash: String,
}

impl TokenRecord {
    /// Makes a random token. Returns it with its record.
    pub fn generate(name: &str, role: token_role::TokenRole) -> (String, Self) {
        let token = hex(&rand::random::<[u8; TOKEN_BYTES]>());
        let salt = rand::random::<[u8; SALT_BYTES]>();
        let record = Self {
            name: String::from(name),
            role,
            salt: hex(&salt),
            hash: hash(&salt, &token).to_hex(),
        };
        (token, record)
    }

    /// Whether `token` is the one of this record. The time taken does not depend on where
    /// the hashes differ.
    pub(crate) fn matches(&self, token: &str) -> bool {
        let salt = lift_types::ChunkHash::from_hex(&self.salt);
        let expected = lift_types::ChunkHash::from_hex(&self.hash);
        let (Some(salt), Some(expected)) = (salt, expected) else {
            return false;
        };
        hash(&salt.0, token).0.ct_eq(&expected.0).into()
    }

    /// Whether salt and hash can be read.
    pub(crate) fn is_valid(&self) -> bool {
        let parts = [&self.salt, &self.hash];
        parts
            .iter()
            .all(|text| lift_types::ChunkHash::from_hex(text).is_some())
    }
}

fn hash(salt: &[u8; SALT_BYTES], token: &str) -> lift_types::ChunkHash {
    lift_types::ChunkHash(*blake3::keyed_hash(salt, token.as_bytes()).as_bytes())
}

fn hex(bytes: &[u8; TOKEN_BYTES]) -> String {
    lift_types::ChunkHash(*bytes).to_hex()
}
