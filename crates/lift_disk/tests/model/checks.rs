//! Checks that apply at all times, and after the faults have ended.

use super::{Faults, cluster};

use cluster::is_leading;

impl cluster::Cluster {
    /// Ends all faults, runs for `ms` ms and checks that there is a leader, and that no
    /// member is more than 20 entries behind or differs from the committed entries. Returns the
    /// number of committed entries.
    pub fn run_without_faults(&mut self, ms: u64) -> usize {
        self.faults = Faults {
            loss: 0,
            duplication: 0,
            crashes: 0,
            changes: 0,
            acknowledgment_crashes: 0,
        };
        (self.isolated, self.cut_link) = (None, None);
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

    /// Checks that a term has at most one leader.
    pub(super) fn check_leader(&mut self, position: usize) {
        let host = &self.hosts[position];
        if !is_leading(host) {
            return;
        }
        let term = host.replica.as_ref().unwrap().term();
        let first = *self.leaders.entry(term).or_insert(host.id);
        assert_eq!(first, host.id, "two leaders in term {term}");
    }

    /// Checks that no two hosts apply different entries at the same index.
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

    /// Checks that at most one host holds a lease that is valid by its own clock.
    pub(super) fn check_leases(&self) {
        let valid = self.hosts.iter().filter(|host| {
            let now = host.local_time(self.base, self.ms);
            let status = host
                .replica
                .as_ref()
                .map(lift_consensus::Replica::leadership_status);
            matches!(status, Some(lift_consensus::LeadershipStatus::Leader { lease_until, .. })
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
