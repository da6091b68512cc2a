//! A fake engine.

/// Version, hash and token of what an engine has loaded.
type Loaded = (String, lift_types::ChunkHash, lift_types::FencingToken);

/// An engine that takes time to load and, where it ignores fencing tokens, follows any order.
pub struct Engine {
    checks_tokens: bool,
    highest: lift_types::FencingToken,
    loaded: Option<Loaded>,
    order: Option<(u64, Loaded)>,
    orders: u64,
}

impl Engine {
    pub fn new(checks_tokens: bool) -> Self {
        Self {
            checks_tokens,
            highest: 0,
            loaded: None,
            order: None,
            orders: 0,
        }
    }

    /// Hash of what it answers from.
    pub fn loaded(&self) -> Option<lift_types::ChunkHash> {
        self.loaded.as_ref().map(|(_, hash, _)| *hash)
    }

    /// What it reports, or `None` while it loads.
    pub fn report(
        &self,
    ) -> Option<(
        Option<String>,
        Option<lift_types::ChunkHash>,
        lift_types::FencingToken,
    )> {
        if self.order.is_some() {
            return None;
        }
        Some(match self.loaded.clone() {
            Some((version, hash, fencing)) => (Some(version), Some(hash), fencing),
            None => (None, None, self.highest),
        })
    }

    /// Takes an order. Two orders at once mean that two agents gave orders.
    pub fn begin(
        &mut self,
        version: String,
        hash: lift_types::ChunkHash,
        fencing: lift_types::FencingToken,
        context: &str,
    ) -> u64 {
        assert!(self.order.is_none(), "two orders overlap: {context}");
        assert!(
            fencing > self.highest,
            "order with a stale token: {context}"
        );
        self.orders += 1;
        self.loaded = None;
        if !self.checks_tokens || fencing > self.highest {
            self.order = Some((self.orders, (version, hash, fencing)));
        }
        self.highest = fencing;
        self.orders
    }

    /// Ends an order and returns what was loaded.
    pub fn finish(&mut self, order: u64) -> Option<Loaded> {
        let (_, loaded) = self.order.take_if(|(number, _)| *number == order)?;
        self.loaded = Some(loaded.clone());
        Some(loaded)
    }

    pub fn die(&mut self) {
        self.loaded = None;
        self.order = None;
    }
}
