//! How evenly rendezvous hashing distributes targets over hosts.

use chicorycroft_core::rendezvous;
use eyre::Result;
use std::collections::HashMap;

/// Prints the smallest, median and largest number of targets that a host owns, and the number of targets
/// whose owner changes when one host leaves.
pub(crate) fn run(seed: u64) -> Result<()> {
    println!("hosts targets least median most moved_when_one_leaves");
    for (host_count, target_count) in [(3, 30), (16, 12), (48, 36), (170, 1_700), (1_700, 17_000)] {
        let hosts: Vec<String> = (0..host_count)
            .map(|n| format!("{seed}-host-{n}"))
            .collect();
        let owner_among = |hosts: &[String], target: usize| {
            let key = format!("target-{target}");
            rendezvous::first_of(&key, hosts, |host| host).cloned()
        };
        let owners: Vec<_> = (0..target_count).map(|n| owner_among(&hosts, n)).collect();
        let mut owned: HashMap<&str, usize> = hosts.iter().map(|host| (host.as_str(), 0)).collect();
        for owner in owners.iter().flatten() {
            *owned.entry(owner).or_default() += 1;
        }
        let mut counts: Vec<usize> = owned.into_values().collect();
        counts.sort_unstable();
        let moved = (0..target_count)
            .filter(|&n| owner_among(&hosts[1..], n) != owners[n])
            .count();
        let (least, median) = (counts[0], counts[counts.len() / 2]);
        let most = counts[counts.len() - 1];
        println!("{host_count} {target_count} {least} {median} {most} {moved}");
    }
    Ok(())
}
