//! Faults of links between members, for tests and experiments.

type Pair = (lift_types::MemberId, lift_types::MemberId);

/// Cuts and stalls the links between members of one process, without an error on either
/// side.
#[derive(Debug, Default)]
pub struct LinkSwitch {
    links: parking_lot::Mutex<indexmap::IndexMap<Pair, Link>>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Link {
    state: State,
    /// Connections of an earlier generation deliver nothing.
    generation: u64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Up,
    Cut,
}

impl LinkSwitch {
    /// All links work.
    pub fn new() -> Self {
        Self::default()
    }

    /// Drops everything between two members until [`LinkSwitch::heal`].
    pub fn cut(&self, a: lift_types::MemberId, b: lift_types::MemberId) {
        self.change(a, b, |link| link.state = State::Cut);
    }

    /// Lets new connections between two members work again.
    pub fn heal(&self, a: lift_types::MemberId, b: lift_types::MemberId) {
        self.change(a, b, |link| {
            link.state = State::Up;
            link.generation += 1;
        });
    }

    /// Stops the open connections between two members for good. New ones work.
    pub fn stall(&self, a: lift_types::MemberId, b: lift_types::MemberId) {
        self.change(a, b, |link| link.generation += 1);
    }

    /// Generation of a connection that is opened now, or `None` where the link is cut.
    pub(crate) fn open(&self, a: lift_types::MemberId, b: lift_types::MemberId) -> Option<u64> {
        let link = self.get(a, b);
        (link.state == State::Up).then_some(link.generation)
    }

    /// Whether a connection of `generation` delivers.
    pub(crate) fn delivers(
        &self,
        a: lift_types::MemberId,
        b: lift_types::MemberId,
        generation: u64,
    ) -> bool {
        self.open(a, b) == Some(generation)
    }

    fn get(&self, a: lift_types::MemberId, b: lift_types::MemberId) -> Link {
        let links = self.links.lock();
        links.get(&pair(a, b)).copied().unwrap_or_default()
    }

    fn change(&self, a: lift_types::MemberId, b: lift_types::MemberId, f: impl FnOnce(&mut Link)) {
        f(self.links.lock().entry(pair(a, b)).or_default());
    }
}

fn pair(a: lift_types::MemberId, b: lift_types::MemberId) -> Pair {
    (a.min(b), a.max(b))
}
