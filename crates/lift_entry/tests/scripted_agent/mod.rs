//! An agent whose answers are scripted.

#![allow(dead_code)]

use std::{sync, time};

use lift_wire::{AnswerMessage, CallMessage};

use crate::fleet;

/// Returns the messages with which the agent answers a call.
pub type Script = sync::Arc<dyn Fn(&lift_wire::Call) -> Vec<AnswerMessage> + Send + Sync>;

/// Settings of a scripted agent. It answers claim queries with `Unknown`.
pub struct ScriptedAgent {
    pub host: u32,
    pub service: &'static str,
    pub version: Option<&'static str>,
    /// Time before each message.
    pub pause: time::Duration,
    pub script: Script,
}

impl ScriptedAgent {
    /// Starts the agent and its heartbeats.
    pub async fn start(self, fleet: &fleet::Fleet) {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let call_addr = listener.local_addr().unwrap();
        let (keys, script, pause) = (sync::Arc::clone(&fleet.keys), self.script, self.pause);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (keys, script) = (sync::Arc::clone(&keys), sync::Arc::clone(&script));
                tokio::spawn(answer_calls(stream, keys, script, pause));
            }
        });
        let heartbeat = lift_wire::Heartbeat {
            location: fleet::location(self.host),
            incarnation: 1,
            sequence: 0,
            state: lift_types::HostState::Up,
            serving: self.version.map(|version| lift_types::ServingVersion {
                version: String::from(version),
                fencing: 1,
            }),
            in_progress: 0,
            call_addr,
            chunk_addr: None,
            services: vec![String::from(self.service)],
        };
        let entry = fleet.entries[0].heartbeat_addr();
        tokio::spawn(send_heartbeats(
            heartbeat,
            sync::Arc::clone(&fleet.keys),
            entry,
        ));
    }
}

async fn answer_calls(
    stream: tokio::net::TcpStream,
    keys: sync::Arc<lift_wire::LinkKeys>,
    script: Script,
    pause: time::Duration,
) {
    let purpose = lift_wire::Purpose::Calls;
    let (mut rx, mut tx) = lift_wire::accept(stream, &keys, purpose).await.unwrap();
    while let Ok(message) = rx.recv::<CallMessage>().await {
        let answers = match message {
            CallMessage::Call(call) => script(&call),
            CallMessage::QueryClaim(query) => vec![AnswerMessage::Claim {
                id: query.id,
                state: lift_wire::ClaimState::Unknown,
            }],
            CallMessage::Ping => vec![AnswerMessage::Pong],
            _ => Vec::new(),
        };
        for answer in answers {
            tokio::time::sleep(pause).await;
            if tx.send(&answer).await.is_err() {
                return;
            }
        }
    }
}

async fn send_heartbeats(
    mut heartbeat: lift_wire::Heartbeat,
    keys: sync::Arc<lift_wire::LinkKeys>,
    entry: std::net::SocketAddr,
) {
    let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
    loop {
        heartbeat.sequence += 1;
        let datagram = lift_wire::seal(&keys, &heartbeat).unwrap();
        let _ = socket.send_to(&datagram, entry).await;
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
}
