//! The table of the matrix.

use std::fmt;

use fmt::Write as _;
use strum::IntoEnumIterator as _;

use crate::{config_step, fault, journey, request_step, spread_step};

/// The matrix as a Markdown page: what each journey guards, what each fault means there and
/// what is seen, and the test of each cell.
pub fn table() -> String {
    let mut page = String::from(HEAD);
    for journey in journey::Journey::iter() {
        let _ = write!(page, "\n## Journey `{journey}`\n\n{}\n\n", journey.guards());
        page.push_str("| fault | injected as | what is seen |\n| --- | --- | --- |\n");
        for fault in fault::Fault::iter() {
            let (injected, seen) = describe(journey, fault);
            let _ = writeln!(page, "| `{fault}` | {injected} | {seen} |");
        }
        page.push_str("\nCells, one test each:\n\n");
        for step in steps(journey) {
            let faults: Vec<_> = fault::Fault::iter().map(|f| format!("`{f}`")).collect();
            let _ = writeln!(
                page,
                "- `fault_matrix::{journey}::{step}`: {}",
                faults.join(", ")
            );
        }
    }
    page
}

const HEAD: &str = "# Fault matrix

Every fault at every step of the three journeys. Each cell is one test, which injects the \
fault when the journey first reaches the step, with several seeds. It runs the real decision \
code in virtual time with small fakes at the interfaces. `cargo test --workspace fault_matrix` \
runs all cells; a failure prints the seed, and the same seed gives the same run. This page is \
written by `lift_matrix::table`; a test compares it.
";

fn steps(journey: journey::Journey) -> Vec<String> {
    match journey {
        journey::Journey::Spread => names(spread_step::SpreadStep::iter()),
        journey::Journey::Request => names(request_step::RequestStep::iter()),
        journey::Journey::Config => names(config_step::ConfigStep::iter()),
    }
}

fn names<T: ToString>(steps: impl Iterator<Item = T>) -> Vec<String> {
    steps.map(|step| step.to_string()).collect()
}

fn describe(journey: journey::Journey, fault: fault::Fault) -> (&'static str, &'static str) {
    match journey {
        journey::Journey::Spread => spread(fault),
        journey::Journey::Request => request(fault),
        journey::Journey::Config => config(fault),
    }
}

fn spread(fault: fault::Fault) -> (&'static str, &'static str) {
    use fault::Fault;
    match fault {
        Fault::HostDies => (
            "the host and its engine die and come back with the chunks on its disk",
            "the host serves nothing until it has loaded the version under a new incarnation",
        ),
        Fault::LinkStalls => (
            "the host's link delivers nothing for 3 s",
            "the host is late",
        ),
        Fault::DataCorrupt => (
            "the next three chunks to the host are changed on the way",
            "counted, dropped and fetched elsewhere",
        ),
        Fault::VersionChanges => (
            "the default version changes",
            "the transfer stops; shared chunks are kept; hosts serve the newer version",
        ),
        Fault::ControlPartitioned => (
            "control answers nothing for 6 s",
            "no switch in that time; hosts go on serving what they serve",
        ),
        Fault::Race => (
            "two operators change the default version under one revision",
            "one gets a conflict; hosts follow the other",
        ),
        Fault::AnswerLost => (
            "the next grant is lost on its way to the host",
            "the host asks again",
        ),
        Fault::SecondLoss => (
            "the host dies, and another host of its region dies when it is back",
            "both return and serve the version",
        ),
        Fault::Restart => (
            "the agent restarts while its engine goes on",
            "the agent advertises nothing until the engine has confirmed a whole version",
        ),
        Fault::ConnectionSilent => (
            "the connections of the host to other hosts go silent and are replaced after 2 s",
            "the host is late",
        ),
        Fault::TwoAtOnce => ("two of the above", "each as above"),
    }
}

fn request(fault: fault::Fault) -> (&'static str, &'static str) {
    use fault::Fault;
    match fault {
        Fault::HostDies => (
            "the host of the agent and its backend server dies and comes back without memory",
            "answer, or in doubt where the claim named the dead agent",
        ),
        Fault::LinkStalls => (
            "messages between entry and agent are late by 3 s",
            "a late answer, or the recorded outcome for a repeat",
        ),
        Fault::DataCorrupt => (
            "the next message of the agent fails its check, so the connection is closed",
            "the outcome as the agent or control report it",
        ),
        Fault::VersionChanges => (
            "the agent closes its gate to switch",
            "a refused attempt moves to another agent; one in progress ends",
        ),
        Fault::ControlPartitioned => (
            "control answers nothing for 3 s; what it has got takes effect",
            "not run where nothing was sent; otherwise answer or in doubt",
        ),
        Fault::Race => (
            "a second sending under the same key through another entry",
            "both get the same answer",
        ),
        Fault::AnswerLost => (
            "the caller's connection breaks and the caller repeats through another entry",
            "the recorded outcome",
        ),
        Fault::SecondLoss => (
            "the agent's host dies, and another one when it is back",
            "answer, or in doubt where the claim named a dead agent",
        ),
        Fault::Restart => (
            "the entry restarts; the caller repeats through another entry",
            "the recorded outcome, or the answer of the first run",
        ),
        Fault::ConnectionSilent => (
            "the connection to the agent goes silent and is given up after 2 s",
            "the outcome as the agent reports it over a new connection",
        ),
        Fault::TwoAtOnce => ("two of the above", "each as above"),
    }
}

fn config(fault: fault::Fault) -> (&'static str, &'static str) {
    use fault::Fault;
    match fault {
        Fault::HostDies => (
            "the leader crashes, loses what was not synced and restarts",
            "the program repeats the change; one answer",
        ),
        Fault::LinkStalls => (
            "messages of the leader are late by 700 ms",
            "a late answer, or a new leader",
        ),
        Fault::DataCorrupt => (
            "frames of the leader fail their check for 200 ms and are dropped",
            "a late answer",
        ),
        Fault::VersionChanges => (
            "a further change follows at once",
            "both in force, in order",
        ),
        Fault::ControlPartitioned => (
            "the leader is cut off for 6 s, with the nodes that ask it",
            "nodes that can't confirm take no new work; the change is in force or repeated",
        ),
        Fault::Race => (
            "another operator changes under the same expected revision",
            "one of the two gets a conflict that names the other",
        ),
        Fault::AnswerLost => (
            "the answer is lost and the program sends the change again",
            "the first answer",
        ),
        Fault::SecondLoss => (
            "a follower loses its disk and is replaced, then the leader crashes",
            "nothing is lost",
        ),
        Fault::Restart => (
            "all members restart after hundreds of changes",
            "nodes take no new work until the revision is confirmed",
        ),
        Fault::ConnectionSilent => (
            "the connections between the leader and one follower go silent for 2 s",
            "the other follower makes the quorum",
        ),
        Fault::TwoAtOnce => ("two of the above", "each as above"),
    }
}
