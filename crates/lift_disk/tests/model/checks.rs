//! What must hold at all times, and once the faults have ended.

use super::{Faults, world};

use world::is_leading;

impl world::World {
    /// Ends all faults, waits until the members are equal and returns how many entries are
    /// committed.
    pub fn run_healed(&mut self, ms: u64) -> usize {
        self.faults = Faults {
            loss: 0,
            doubling: 0,
            crashes: 0,
            changes: 0,
            ambushes: 0,
        };
        (self.isolated, self.cut) = (None, None);
        for host in &mut self.hosts {
            host.disk.fail_after(u64::MAX);
        }
        for _ in 0..ms {
            self.tick();
        }
        let last = self.committed.keys().next_back().copied().unwrap_or(0);
        let leading = self.hosts.iter().filter(|host| is_leading(host));
        let leader = leading.max_by_key(|host| host.replica.as_ref().unwrap().term());
        let leader = leader.expect("no leader after the faults ended");
        let members = leader.replica.as_ref().unwrap().members().clone();
        for host in self
            .hosts
            .iter()
            .filter(|host| members.get(host.id).is_some())
        {
            assert!(host.applied + 20 >= last, "host {} is behind", host.id);
            for (index, command) in host.state.range(..=last) {
                let entry = &self.committed[index];
                assert_eq!(
                    entry.payload,
                    lift_consensus::Payload::Command(command.clone()),
                    "host {} has another command at {index}",
                    host.id
                );
            }
            let commands = self
                .committed
                .range(..=host.applied)
                .filter(|(_, entry)| matches!(entry.payload, lift_consensus::Payload::Command(_)));
            assert_eq!(
                host.state.len(),
                commands.count(),
                "host {} lost commands",
                host.id
            );
        }
        self.committed.len()
    }

    pub(super) fn check_leader(&mut self, position: usize) {
        let host = &self.hosts[position];
        if !is_leading(host) {
            return;
        }
        let term = host.replica.as_ref().unwrap().term();
        let first = *self.leaders.entry(term).or_insert(host.id);
        assert_eq!(first, host.id, "two leaders in term {term}");
    }

    pub(super) fn check_applied(&mut self, position: usize, applied: Vec<lift_consensus::Entry>) {
        let id = self.hosts[position].id;
        for entry in applied {
            let first = self
                .committed
                .entry(entry.index)
                .or_insert_with(|| entry.clone());
            assert_eq!(*first, entry, "host {id} applied another entry");
        }
    }

    /// At no time may two hosts hold a valid lease by their own clocks.
    pub(super) fn check_leases(&self) {
        let valid = self.hosts.iter().filter(|host| {
            let now = host.local(self.base, self.ms);
            let standing = host
                .replica
                .as_ref()
                .map(lift_consensus::Replica::leadership_status);
            matches!(standing, Some(lift_consensus::LeadershipStatus::Leader { lease_until, .. })
                if lease_until > now)
        });
        let ids: Vec<_> = valid.map(|host| host.id).collect();
        assert!(
            ids.len() < 2,
            "hosts {ids:?} hold a lease at {} ms",
            self.ms
        );
    }
}
