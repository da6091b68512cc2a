//! What was sent to a cluster and what its members applied.

use std::sync;

use super::sending;

/// Compares commands that were sent with those that the members applied, whatever member
/// did. An unknown outcome allows one application and requires none.
#[derive(Debug, Default)]
pub struct History {
    sendings: sync::Mutex<Vec<sending::Sending>>,
    applied: sync::Mutex<indexmap::IndexMap<lift_types::LogIndex, String>>,
}

impl History {
    /// Notes a command before it is sent and returns its unique name.
    pub fn begin(&self, command: &str) -> String {
        let mut sendings = self.sendings.lock().unwrap();
        let name = format!("{command} #{}", sendings.len());
        sendings.push(sending::Sending::new(name.clone()));
        name
    }

    pub fn end(&self, name: &str, outcome: sending::Outcome) {
        let mut sendings = self.sendings.lock().unwrap();
        let sending = sendings.iter_mut().find(|sending| sending.name == name);
        sending.unwrap().outcome = outcome;
    }

    /// Notes an application. Members may not differ in what they apply at an index.
    pub fn apply(&self, index: lift_types::LogIndex, command: &[u8]) {
        let name = String::from_utf8(command.to_vec()).unwrap();
        let mut applied = self.applied.lock().unwrap();
        let first = applied.entry(index).or_insert_with(|| name.clone());
        assert_eq!(*first, name, "members differ at index {index}");
    }

    /// Names of all applied commands in the order of the log.
    pub fn applied(&self) -> Vec<String> {
        let mut applied = self.applied.lock().unwrap().clone();
        applied.sort_unstable_keys();
        applied.into_values().collect()
    }

    /// Panics unless each acknowledged command was applied once, where its reply said, each
    /// one of unknown outcome at most once, and nothing else.
    pub fn verify(&self) {
        let sendings = self.sendings.lock().unwrap();
        let applied = self.applied();
        for sending in sendings.iter() {
            let times = applied.iter().filter(|name| **name == sending.name).count();
            let is_right = match sending.outcome {
                sending::Outcome::Acknowledged(position) => {
                    times == 1 && applied.get(position as usize - 1) == Some(&sending.name)
                }
                sending::Outcome::Unknown => times <= 1,
                sending::Outcome::Refused => times == 0,
            };
            assert!(is_right, "applied {times} times: {sending:?}");
        }
        let is_sent = |name: &String| sendings.iter().any(|sending| sending.name == *name);
        assert!(applied.iter().all(is_sent), "not sent: {applied:?}");
    }
}
