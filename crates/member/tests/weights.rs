//! Which VMs claims fall to where some have more processor than others.

use std::time::Instant;

use chestnut_base::{DomainName, MemberId, PoolName, ServerName, VmName};
use chestnut_member::{ClaimKey, MemberRow, MembershipRows, plan_claims};
use indexmap::IndexMap;

const SMALL: u32 = 12;
const LARGE: u32 = 48;

/// Ten small VMs and two large ones.
fn known() -> MembershipRows {
    let mut known = MembershipRows::default();
    for number in 0..12u64 {
        let addr = "127.0.0.1:1".parse().expect("an address");
        let row = MemberRow {
            member: MemberId(number),
            domain: DomainName::try_from("a").expect("a valid name"),
            caller_addr: addr,
            peer_addr: addr,
            ops_addr: addr,
            leaving: false,
            weight: if number < 10 { SMALL } else { LARGE },
        };
        known.members.insert(vm(number), (row, 1));
    }
    known.record_first_seen(Instant::now());
    known
}

fn vm(number: u64) -> VmName {
    VmName::try_from(format!("vm{number}")).expect("a valid name")
}

/// How many of the claims each VM takes.
fn shares(keys: &[ClaimKey]) -> IndexMap<u64, usize> {
    let known = known();
    let now = Instant::now();
    let taken = |number: u64| {
        plan_claims(&known, &vm(number), MemberId(number), keys, now).changes.len()
    };
    (0..12).map(|number| (number, taken(number))).collect()
}

#[test]
fn servers_fall_to_vms_in_proportion() {
    // Two VMs have four times the processor of the other ten. Of 1,200 servers each of
    // them takes some 270 and each other one some 67; every server is taken by one.
    let server =
        |number| ServerName::try_from(format!("s{number}")).expect("a valid name");
    let keys: Vec<ClaimKey> = (0..1200).map(|n| ClaimKey::Server(server(n))).collect();
    let shares = shares(&keys);
    assert_eq!(shares.values().sum::<usize>(), 1200);
    for (number, count) in shares {
        let expected = if number < 10 { 40..100 } else { 210..330 };
        assert!(expected.contains(&count), "vm{number} takes {count}");
    }
}

#[test]
fn services_fall_to_the_largest_vms() {
    // The holder of a service's queue hears of every request. It is one of the two large
    // VMs, whatever the service is called, and each of these has some.
    let pool = |number| PoolName::try_from(format!("p{number}")).expect("a valid name");
    let keys: Vec<ClaimKey> = (0..40).map(|n| ClaimKey::Pool(pool(n))).collect();
    let shares = shares(&keys);
    assert_eq!(shares[&10] + shares[&11], 40, "{shares:?}");
    assert!(shares[&10] > 8 && shares[&11] > 8, "{shares:?}");
}
