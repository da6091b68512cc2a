//! Encoding of commands, replies and snapshots.

/// Number of the format of a batch of commands. A member that reads another number stops
/// serving, so a new format may be proposed only once all members know it.
const BATCH_FORMAT: u8 = 1;

/// Encodes one command for a batch.
pub(crate) fn encode_command(command: &lift_state::Command) -> Option<bytes::Bytes> {
    postcard::to_stdvec(command).ok().map(bytes::Bytes::from)
}

/// Joins encoded commands into one entry of the log.
pub(crate) fn join_batch<'a>(commands: impl ExactSizeIterator<Item = &'a [u8]>) -> bytes::Bytes {
    let mut buf = vec![BATCH_FORMAT];
    buf.extend_from_slice(&(commands.len() as u32).to_le_bytes());
    for command in commands {
        buf.extend_from_slice(command);
    }
    bytes::Bytes::from(buf)
}

/// Reads an entry of the log. `None` where its format is not known.
pub(crate) fn decode_batch(buf: &[u8]) -> Option<Vec<lift_state::Command>> {
    let (format, buf) = buf.split_first()?;
    if *format != BATCH_FORMAT {
        return None;
    }
    let (count, mut buf) = buf.split_first_chunk::<4>()?;
    let mut commands = Vec::new();
    for _ in 0..u32::from_le_bytes(*count) {
        let (command, rest) = postcard::take_from_bytes(buf).ok()?;
        commands.push(command);
        buf = rest;
    }
    buf.is_empty().then_some(commands)
}

/// Encodes the replies to a batch. It is empty where they can't be encoded.
pub(crate) fn encode_replies(replies: &[lift_state::CommandReply]) -> bytes::Bytes {
    postcard::to_stdvec(replies)
        .map(bytes::Bytes::from)
        .unwrap_or_default()
}

/// Reads the replies to a batch.
pub(crate) fn decode_replies(buf: &[u8]) -> Option<Vec<lift_state::CommandReply>> {
    postcard::from_bytes(buf).ok()
}

/// Encodes a snapshot, with its format number before it. It is empty, which no member reads,
/// where a part can't be encoded.
pub(crate) fn encode_state(state: &lift_state::State) -> bytes::Bytes {
    let mut buf = Some(lift_state::StatePart::FORMAT.to_le_bytes().to_vec());
    state.export(&mut |part| {
        buf = buf
            .take()
            .and_then(|buf| postcard::to_extend(&part, buf).ok());
    });
    buf.map(bytes::Bytes::from).unwrap_or_default()
}

/// Reads a snapshot. `None` where its format is not known.
pub(crate) fn decode_state(buf: &[u8]) -> Option<Vec<lift_state::StatePart<'static>>> {
    let (format, mut buf) = buf.split_first_chunk::<2>()?;
    if u16::from_le_bytes(*format) != lift_state::StatePart::FORMAT {
        return None;
    }
    let mut parts = Vec::new();
    while !buf.is_empty() {
        let (part, rest) = postcard::take_from_bytes(buf).ok()?;
        parts.push(part);
        buf = rest;
    }
    Some(parts)
}
