//! Which agent reads which pieces.

use std::sync;

use crate::fetch;

impl fetch::Fetch {
    /// Connects to the agents that this one needs and assigns what it is to read.
    pub(crate) fn set_view(self: &sync::Arc<Self>) {
        let agents = self.shared.agents();
        let location = &self.shared.card.location;
        let all = home_table(agents.clone()).view(location);
        let view = home_table(self.sound_readers(agents)).view(location);
        // Connections to suspects are kept up, which shows when they are back.
        let gone = self.links.lock().set(self, &[&all, &view]);
        for host in gone {
            self.step(lift_transfer::DownloadEvent::PeerDown { host });
        }
        self.step(lift_transfer::DownloadEvent::View(view));
    }

    /// The agents that are neither suspected nor late.
    fn sound_readers(
        &self,
        agents: Vec<lift_transfer::SwarmPeer>,
    ) -> Vec<lift_transfer::SwarmPeer> {
        let suspects = self.suspects.lock().clone();
        let late = self.late_readers.lock().clone();
        let is_sound = |host| !suspects.contains(&host) && !late.contains(host);
        let sound = agents.into_iter().filter(|a| is_sound(a.location.host));
        sound.collect()
    }

    /// Assigns anew what agents are to read whose pieces are late although others come.
    pub(crate) fn replace_late_readers(self: &sync::Arc<Self>) {
        let now = lift_clock::now();
        let late = self.download.lock().late_groups(now);
        if late.is_empty() {
            return;
        }
        let agents = self.shared.agents();
        let count = agents.len();
        let table = home_table(self.sound_readers(agents));
        let region = &self.shared.card.location.region;
        let mut late_readers = self.late_readers.lock();
        let has_changed = late_readers.replace(now, &late, &table, region, count);
        drop(late_readers);
        if has_changed {
            slog::info!(self.shared.log, "late readers replaced"; "groups" => late.len());
            self.set_view();
        }
    }

    /// Notes whether an agent can be reached, and assigns anew what it is to read.
    pub(crate) fn suspect(self: &sync::Arc<Self>, host: lift_types::HostId, is_lost: bool) {
        let is_new = match is_lost {
            true => self.suspects.lock().insert(host),
            false => self.suspects.lock().swap_remove(&host),
        };
        if is_new {
            slog::info!(self.shared.log, "agent suspected"; "host" => host, "lost" => is_lost);
            self.set_view();
        }
    }
}

fn home_table(agents: Vec<lift_transfer::SwarmPeer>) -> lift_transfer::HomeTable {
    lift_transfer::HomeTable::new(agents, lift_types::TransferGoal::Origin)
}
