//! Links that transfers share.

use std::collections;

use lift_transfer::{DownloadEvent, Source};

use super::{DELAY, Event, Model, REGIONS, STEP, Transfer};

/// Rounds in which transfers are given what others leave of a link.
const SHARE_ROUNDS: u32 = 4;

impl Model {
    /// Moves the bytes of one step.
    pub(super) fn carry(&mut self) {
        for host in 0..self.play.agents {
            let agent = &mut self.agents[host as usize];
            while agent.next_send <= self.now {
                let is_local = |to: u32| to % REGIONS == host % REGIONS;
                let next = agent.waiting.iter().position(|(to, _)| !is_local(*to));
                let Some((to, chunk)) = agent.waiting.remove(next.unwrap_or_default()) else {
                    break;
                };
                let bytes = self.play.piece_bytes as usize;
                // Live requests run all the time.
                agent.pacer.reserve(self.now, bytes, 1);
                agent.next_send = agent.pacer.clone().reserve(self.now, 0, 1);
                let (source, left) = (Source::Peer(host), bytes as f64);
                self.transfers.push(Transfer {
                    source,
                    to,
                    chunk,
                    left,
                });
            }
        }
        let mut rates = vec![0.0; self.transfers.len()];
        let mut up = collections::HashMap::new();
        let mut down = collections::HashMap::new();
        for t in &self.transfers {
            let rate = match t.source {
                Source::Origin => self.play.origin_rate,
                Source::Peer(host) => self.rate(host),
            };
            up.entry(t.source).or_insert((rate, 0.0)).1 += 1.0;
            down.entry(t.to).or_insert((self.rate(t.to), 0.0)).1 += 1.0;
        }
        let origin = up.get(&Source::Origin).map_or(0, |(_, n)| *n as usize);
        self.outcome.connections = self.outcome.connections.max(origin);
        for _ in 0..SHARE_ROUNDS {
            let shares: Vec<_> = self
                .transfers
                .iter()
                .map(|t| {
                    let ((up, sent), (down, got)) = (up[&t.source], down[&t.to]);
                    (up / sent).min(down / got)
                })
                .collect();
            for ((t, rate), share) in self.transfers.iter().zip(&mut rates).zip(shares) {
                *rate += share;
                up.entry(t.source).and_modify(|(left, _)| *left -= share);
                down.entry(t.to).and_modify(|(left, _)| *left -= share);
            }
        }
        for (transfer, rate) in self.transfers.iter_mut().zip(rates) {
            transfer.left -= rate * STEP.as_secs_f64();
        }
        let ended: Vec<_> = self.transfers.extract_if(.., |t| t.left <= 0.0).collect();
        for t in ended {
            let (chunk, source) = (t.chunk, t.source);
            self.outcome.origin_reads += u32::from(source == Source::Origin);
            let is_corrupt = source == Source::Origin
                && self
                    .outcome
                    .origin_reads
                    .is_multiple_of(self.play.corrupt_every);
            let event = match is_corrupt {
                true => DownloadEvent::Corrupt { chunk, source },
                false => DownloadEvent::Arrived { chunk, source },
            };
            self.push(DELAY, Event::Deliver(t.to, event));
        }
    }
}
