//! SHA-256, for the digests of manifests.

const PRIMES: usize = 64;

/// First 32 bits of the fractional parts of the cube roots of the first 64 primes.
fn constants() -> [u32; PRIMES] {
    let is_prime = |n: &u64| {
        (2..*n)
            .take_while(|d| d * d <= *n)
            .all(|d| !n.is_multiple_of(d))
    };
    let mut primes = (2..).filter(is_prime);
    std::array::from_fn(|_| cube_root_fraction(primes.next().unwrap_or_default()))
}

/// First 32 bits of the fractional part of the cube root of `n`.
fn cube_root_fraction(n: u64) -> u32 {
    // The largest x with x^3 <= n * 2^96 is the root times 2^32.
    let wide = u128::from(n) << 96;
    let (mut low, mut high) = (0_u128, 1_u128 << 36);
    while high - low > 1 {
        let middle = (low + high) / 2;
        if middle * middle * middle <= wide {
            low = middle
        } else {
            high = middle
        }
    }
    low as u32
}

const START: [u32; 8] = [
    0x6a09_e667,
    0xbb67_ae85,
    0x3c6e_f372,
    0xa54f_f53a,
    0x510e_527f,
    0x9b05_688c,
    0x1f83_d9ab,
    0x5be0_cd19,
];

/// Digest of `bytes` in hexadecimal digits.
pub fn hex(bytes: &[u8]) -> String {
    let k = constants();
    let mut padded = bytes.to_vec();
    padded.push(0x80);
    while padded.len() % 64 != 56 {
        padded.push(0);
    }
    padded.extend_from_slice(&(bytes.len() as u64 * 8).to_be_bytes());
    let mut state = START;
    for block in padded.chunks(64) {
        let mut w = [0_u32; PRIMES];
        for (word, bytes) in w.iter_mut().zip(block.chunks(4)) {
            *word = u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]);
        }
        for i in 16..PRIMES {
            let s0 = w[i - 15].rotate_right(7) ^ w[i - 15].rotate_right(18) ^ (w[i - 15] >> 3);
            let s1 = w[i - 2].rotate_right(17) ^ w[i - 2].rotate_right(19) ^ (w[i - 2] >> 10);
            w[i] = w[i - 16]
                .wrapping_add(s0)
                .wrapping_add(w[i - 7])
                .wrapping_add(s1);
        }
        let [mut a, mut b, mut c, mut d, mut e, mut f, mut g, mut h] = state;
        for i in 0..PRIMES {
            let s1 = e.rotate_right(6) ^ e.rotate_right(11) ^ e.rotate_right(25);
            let choice = (e & f) ^ (!e & g);
            let first = h
                .wrapping_add(s1)
                .wrapping_add(choice)
                .wrapping_add(k[i])
                .wrapping_add(w[i]);
            let s0 = a.rotate_right(2) ^ a.rotate_right(13) ^ a.rotate_right(22);
            let second = s0.wrapping_add((a & b) ^ (a & c) ^ (b & c));
            (h, g, f, e) = (g, f, e, d.wrapping_add(first));
            (d, c, b, a) = (c, b, a, first.wrapping_add(second));
        }
        for (word, new) in state.iter_mut().zip([a, b, c, d, e, f, g, h]) {
            *word = word.wrapping_add(new);
        }
    }
    state.iter().map(|word| format!("{word:08x}")).collect()
}

#[cfg(test)]
mod tests {
    #[test]
    fn digest_of_abc() {
        let expected = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
        assert_eq!(super::hex(b"abc"), expected);
    }
}
