//! Growth of the inventory's memory and of the messages with the size of the fleet.

use chicorycroft_bench::fleet_size::FleetSize;
use chicorycroft_core::prelude::*;
use chicorycroft_inventory::prelude::*;
use chicorycroft_membership::{
    plan::{
        HeartbeatPlan,
        READERS_PER_ZONE, //
    },
    prelude::*,
};
use eyre::{
    ContextCompat,
    Result, //
};

/// Fleets whose messages are counted, as numbers of hosts and zones.
const FLEETS: [(usize, usize); 3] = [(3, 3), (48, 3), (1_700, 10)];

/// Returns the resident memory of this process in kB.
fn resident_kb() -> Result<u64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().next());
    Ok(kb
        .wrap_err("/proc/self/status has no VmRSS line")?
        .parse()?)
}

fn print_memory() -> Result<()> {
    println!("teams targets routes snapshot_kb");
    for divisor in [100, 10, 1] {
        let size = FleetSize::DESIGN.divided_by(divisor);
        let before = resident_kb()?;
        let snapshot = FleetSnapshot::new(ConfigVersion::new(1), size.parts()?)?;
        let used = resident_kb()?.saturating_sub(before);
        let teams = snapshot.teams().count();
        println!("{teams} {} {} {used}", size.targets, size.routes);
    }
    Ok(())
}

fn print_heartbeats() -> Result<()> {
    println!("hosts zones partners_in_zone partners_outside heartbeats_per_round readers");
    for (host_count, zone_count) in FLEETS {
        let entry = |n: usize| -> Result<HostEntry> {
            Ok(HostEntry {
                id: HostId::new(&format!("host-{n}"))?,
                zone: ZoneId::new(&format!("zone-{}", n % zone_count))?,
                address: ([127, 0, 0, 1], 8081).into(),
                is_leaving: false,
            })
        };
        let hosts: Vec<HostEntry> = (0..host_count).map(entry).collect::<Result<_>>()?;
        let own = hosts.first().wrap_err("the fleet has no hosts")?;
        let plan = HeartbeatPlan::new(&own.id, &own.zone, &hosts);
        println!(
            "{host_count} {zone_count} {} {} {} {}",
            plan.own_zone().len(),
            plan.other_zones().len(),
            plan.per_round(),
            READERS_PER_ZONE * zone_count
        );
    }
    Ok(())
}

/// Prints the tables of memory and messages.
pub(crate) fn run(_seed: u64) -> Result<()> {
    print_memory()?;
    print_heartbeats()
}
