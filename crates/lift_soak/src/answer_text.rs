//! Contents of answers, which callers can check without asking anybody.

/// Length of the answer of a plain server, in bytes.
const BODY_BYTES: usize = 900;

/// Events of a stream.
pub(crate) const EVENTS: u64 = 10;

/// The answer of a plain server to the request `id`.
pub(crate) fn body(id: &str) -> String {
    id.chars().cycle().take(BODY_BYTES).collect()
}

/// Signature of an answer to the request `id`.
pub(crate) fn seal(id: &str) -> String {
    format!("seal-{id}")
}

/// Event `n` of the answer to the request `id` on a version of the weights.
pub(crate) fn event(id: &str, n: u64, version: u64) -> String {
    format!("id: {n}\ndata: {id} {n} v{version}\n\n")
}

/// What is wrong with a whole stream, if anything is. All events must come once, in order, for
/// this request and on one version.
pub(crate) fn stream_fault(id: &str, text: &str) -> Option<String> {
    let mut version = None;
    let mut next = 1;
    for event in text.split_terminator("\n\n") {
        let data = event.split_once("\ndata: ");
        let Some((number, data)) = data.filter(|(number, _)| number.starts_with("id: ")) else {
            return Some(format!("no event: {event:?}"));
        };
        let on = data.rsplit_once(' ').map(|(_, version)| version);
        if number != format!("id: {next}") || !data.starts_with(&format!("{id} {next} ")) {
            return Some(format!("event {next} expected, got {event:?}"));
        }
        if version.is_some() && version != on {
            return Some(format!("two versions in one stream: {event:?}"));
        }
        version = on;
        next += 1;
    }
    (next != EVENTS + 1).then(|| format!("{} of {EVENTS} events", next - 1))
}
