//! Confirmation of the revision in force.

use std::{sync, time};

use tokio::time as timer;

use crate::{client_core, client_link, control_error, reply, request};

/// Time after which a question that was not answered is asked elsewhere. Together with the
/// interval it finds a stalled connection within 900 ms.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// Time without a confirmation after which the node asks more often and, where its server
/// can't confirm either, elsewhere.
const LATE: time::Duration = time::Duration::from_millis(1_000);

/// Interval of the questions of a node that is late.
const LATE_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Asks again and again whether the revision in force is current, until it is stopped.
pub(crate) async fn run(core: sync::Arc<client_core::ClientCore>) {
    loop {
        ask(&core).await;
        let interval = if is_late(&core) {
            LATE_INTERVAL
        } else {
            core.config.confirm_interval
        };
        tokio::select! {
            () = timer::sleep(interval) => {}
            () = core.pull.notified() => {}
        }
    }
}

async fn ask(core: &client_core::ClientCore) {
    let revision = core.view.borrow().policy.revision;
    let sent_at = time::Instant::now();
    let question = request::Request::Confirm { revision };
    let Some((link, reply)) = core.call_once(&question, ANSWER_TIMEOUT).await else {
        return;
    };
    match reply {
        reply::Reply::Confirmed {
            revision,
            age,
            update,
        } => {
            if let Some(update) = update {
                core.apply(update);
            }
            if let Some(at) = sent_at.checked_sub(age) {
                confirm(core, revision, at);
            }
            if age > LATE && is_worth_leaving(core, &link) {
                core.redirect(&link, None);
            }
        }
        reply::Reply::Failed(error) => refused(core, &link, &error),
        _ => {}
    }
}

/// Notes that no revision later than `revision` had been accepted at `at`.
fn confirm(core: &client_core::ClientCore, revision: lift_types::Revision, at: time::Instant) {
    core.view.send_if_modified(|view| {
        let is_newer = view.confirmed_at.is_none_or(|before| before < at);
        if view.policy.revision < revision || !is_newer {
            return false;
        }
        view.confirmed_at = Some(at);
        true
    });
}

fn refused(
    core: &client_core::ClientCore,
    link: &client_link::ClientLink,
    error: &control_error::ControlError,
) {
    match error {
        control_error::ControlError::NotLeader { leader } => core.redirect(link, *leader),
        _ if is_worth_leaving(core, link) => core.redirect(link, None),
        _ => {}
    }
}

fn is_late(core: &client_core::ClientCore) -> bool {
    let at = core.view.borrow().confirmed_at;
    at.is_none_or(|at| at.elapsed() > LATE)
}

/// A server that can't confirm is left only after some time, so that the nodes of a region
/// that is cut off do not connect over and over again.
fn is_worth_leaving(core: &client_core::ClientCore, link: &client_link::ClientLink) -> bool {
    is_late(core) && link.opened_at.elapsed() > LATE
}
