//! Rendezvous hashing: each name ranks all hosts, so that losing a host moves only the names assigned to it.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A host's score for a name; the host with the highest score serves the name.
pub fn score(name: &str, host: u64) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), host)
}

/// Hosts in descending order of their score for a name.
pub fn rank<T>(name: &str, hosts: impl Iterator<Item = T>, key: impl Fn(&T) -> u64) -> Vec<T> {
    let mut ranked: Vec<T> = hosts.collect();
    ranked.sort_by_key(|host| std::cmp::Reverse(score(name, key(host))));
    ranked
}
