//! Encoding and decoding of commands, replies and snapshots.

/// Version number of the batch format. A member that reads another number counts the entry
/// as unreadable and then rejects the operations that need a valid leader lease, so a new format
/// may be proposed only when all members can decode it.
const BATCH_FORMAT: u8 = 1;

/// Encodes one command for a batch. Returns `None` if it can't be encoded.
pub(crate) fn encode_command(command: &lift_state::Command) -> Option<bytes::Bytes> {
    postcard::to_stdvec(command).ok().map(bytes::Bytes::from)
}

/// Joins encoded commands into one log entry.
pub(crate) fn join_batch<'a>(commands: impl ExactSizeIterator<Item = &'a [u8]>) -> bytes::Bytes {
    let mut buf = vec![BATCH_FORMAT];
    buf.extend_from_slice(&(commands.len() as u32).to_le_bytes());
    for command in commands {
        buf.extend_from_slice(command);
    }
    bytes::Bytes::from(buf)
}

/// Decodes the commands of a log entry. Returns `None` if its format is unknown or it is
/// malformed.
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

/// Encodes the replies to a batch. The result is empty if they can't be encoded.
pub(crate) fn encode_replies(replies: &[lift_state::CommandReply]) -> bytes::Bytes {
    postcard::to_stdvec(replies)
        .map(bytes::Bytes::from)
        .unwrap_or_default()
}

/// Decodes the replies to a batch. Returns `None` if they are malformed.
pub(crate) fn decode_replies(buf: &[u8]) -> Option<Vec<lift_state::CommandReply>> {
    postcard::from_bytes(buf).ok()
}

/// Encodes a snapshot, preceded by its format number. The result is empty if a part can't be
/// encoded; members reject an empty snapshot.
pub(crate) fn encode_state(state: &lift_state::State) -> bytes::Bytes {
    let mut buf = Some(lift_state::StatePart::FORMAT.to_le_bytes().to_vec());
    state.export(&mut |part| {
        buf = buf
            .take()
            .and_then(|buf| postcard::to_extend(&part, buf).ok());
    });
    buf.map(bytes::Bytes::from).unwrap_or_default()
}

/// Decodes a snapshot. Returns `None` if its format is unknown or it is malformed.
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
