//! Hashes that are the same in every process, and rendezvous hashing on top of them.

#[cfg(test)]
mod tests;

/// FNV-1a offset basis.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// FNV-1a prime.
const FNV_PRIME: u64 = 0x0100_0000_01b3;
/// Hashed after each part, so that `["ab", "c"]` and `["a", "bc"]` differ. No byte has this value.
const SEPARATOR: u64 = 0x1ff;

/// Hashes a sequence of byte strings: FNV-1a, finalized by [`mix64`] for good upper bits.
pub fn hash_parts(parts: &[&[u8]]) -> u64 {
    let mut hash = FNV_OFFSET;
    for part in parts {
        for &byte in *part {
            hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
        hash = (hash ^ SEPARATOR).wrapping_mul(FNV_PRIME);
    }
    mix64(hash)
}

/// The finalizer of splitmix64.
pub fn mix64(mut z: u64) -> u64 {
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// The candidates in descending order of their weights for a key (rendezvous hashing, Thaler and Ravishankar, 1998). The
/// first owns the key. When a candidate is removed, only the keys that it owned move.
pub fn rendezvous_order<'a, T: AsRef<str> + ?Sized>(
    key: &str,
    candidates: impl IntoIterator<Item = &'a T>,
) -> Vec<&'a T> {
    let weight = |candidate: &T| hash_parts(&[key.as_bytes(), candidate.as_ref().as_bytes()]);
    let weighted = candidates.into_iter().map(|candidate| (weight(candidate), candidate));
    let mut ranked: Vec<(u64, &T)> = weighted.collect();
    ranked.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.as_ref().cmp(b.1.as_ref())));
    ranked.into_iter().map(|(_, candidate)| candidate).collect()
}
