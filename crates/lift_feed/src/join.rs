//! How a host becomes a control member.

use std::{net, time};

use error_stack::ResultExt as _;

use crate::{
    feed_error, join_answer, link_socket, member_message, newcomer, node_message, server_connection,
};

/// Time to open the connection.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(700);

/// Time for the answer. Removing a former member and adding the new one takes two commits.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Asks the control member that feeds nodes at `address`.
///
/// # Errors
///
/// Returns an error where there was no answer. The host may have become a member then; it
/// asks again and gets another identifier.
pub async fn join(
    address: net::SocketAddr,
    keys: &lift_wire::LinkKeys,
    newcomer: newcomer::Newcomer,
) -> Result<join_answer::JoinAnswer, error_stack::Report<feed_error::FeedError>> {
    let opening = async {
        let stream = tokio::net::TcpStream::connect(address).await;
        let stream = stream.change_context(lift_wire::WireError::Closed)?;
        link_socket::prepare_link(&stream, ANSWER_TIMEOUT);
        lift_wire::connect(stream, keys, lift_wire::Purpose::Feed).await
    };
    let opened = server_connection::within(CONNECT_TIMEOUT, opening).await;
    let (mut reader, mut writer) = opened.change_context(feed_error::FeedError::Connect)?;
    let message = node_message::NodeMessage::Join(newcomer);
    let asking = async {
        writer.send(&message).await?;
        reader.recv::<member_message::MemberMessage>().await
    };
    match server_connection::within(ANSWER_TIMEOUT, asking).await? {
        member_message::MemberMessage::Join(answer) => Ok(answer),
        _ => Err(error_stack::Report::new(feed_error::FeedError::Link)),
    }
}
