//! Sends changes of the policy.

use std::time;

use crate::{change_args, cli_error, client, output, policy_diff, reply};

/// Times that a change is sent before the command gives up.
const MAX_TRIES: u32 = 6;

/// Pause before the first repeat. It doubles with each one; together the pauses outlast an
/// election among the control members.
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(100);

/// Sends a change with the edits that `edits` makes of the policy in force, and prints what
/// became of it. It is repeated under the same change id until an answer comes.
pub(crate) async fn send(
    client: &client::Client,
    output: &output::Output,
    args: &change_args::ChangeArgs,
    edits: impl FnOnce(&lift_types::Policy) -> Result<Vec<lift_state::ChangeEdit>, cli_error::CliError>,
) -> Result<(), cli_error::CliError> {
    let until = client::deadline();
    let policy: lift_types::Policy = client.get_until("/v1/policy", until).await?;
    let edits = edits(&policy)?;
    if edits.is_empty() {
        return output.done(
            "nothing to change",
            &serde_json::json!({"result": "unchanged", "revision": policy.revision}),
        );
    }
    let id = args.change_id.clone().unwrap_or_else(random_id);
    let body = lift_admin::ChangeBody {
        id: id.clone(),
        expected: args.expect.unwrap_or(policy.revision),
        author: args.author.clone(),
        reason: args.reason.clone(),
        edits,
        mode: if args.dry_run {
            lift_admin::ChangeMode::DryRun
        } else {
            lift_admin::ChangeMode::Apply
        },
    };
    output.note(&format!("change id: {id}"));
    let answer = send_until_answered(client, &body, until).await?;
    report(output, &id, &policy, answer)
}

async fn send_until_answered(
    client: &client::Client,
    body: &lift_admin::ChangeBody,
    until: time::Instant,
) -> Result<lift_admin::ChangeAnswer, cli_error::CliError> {
    let buf = serde_json::to_vec(body).map_err(|e| cli_error::CliError::Failed(e.to_string()))?;
    let buf = bytes::Bytes::from(buf);
    let mut pause = FIRST_PAUSE;
    let mut problem = String::new();
    for number in 1..=MAX_TRIES {
        let sent = client.call_until(http::Method::POST, "/v1/changes", buf.clone(), until);
        match sent.await {
            Ok(reply) if reply::is_unanswered(reply.status) => {
                problem = format!("control is not available ({})", reply.status.as_u16());
            }
            Ok(reply) => return decode(reply),
            Err(e) => problem = e.to_string(),
        }
        if time::Instant::now() + pause >= until {
            break;
        }
        if number < MAX_TRIES {
            tokio::time::sleep(pause).await;
            pause *= 2;
        }
    }
    Err(cli_error::CliError::Unreachable(format!(
        "{problem}; it is not known whether the change was made; repeat it with \
         --change-id {} --expect {}",
        body.id, body.expected
    )))
}

fn decode(reply: reply::Reply) -> Result<lift_admin::ChangeAnswer, cli_error::CliError> {
    let is_answer = matches!(
        reply.status,
        http::StatusCode::CONFLICT | http::StatusCode::UNPROCESSABLE_ENTITY
    );
    let answer = reply.decode();
    match answer {
        Ok(answer) if is_answer || reply.status.is_success() => Ok(answer),
        _ => reply.check()?.decode(),
    }
}

fn report(
    output: &output::Output,
    id: &str,
    before: &lift_types::Policy,
    answer: lift_admin::ChangeAnswer,
) -> Result<(), cli_error::CliError> {
    match answer {
        lift_admin::ChangeAnswer::Accepted { revision } => output.done(
            &format!("accepted as revision {revision}"),
            &serde_json::json!({"result": "accepted", "revision": revision, "change_id": id}),
        ),
        lift_admin::ChangeAnswer::Preview { policy } => {
            let lines = policy_diff::lines(before, &policy);
            let text = format!("{}\ndry run: nothing was changed", lines.join("\n"));
            output.done(
                &text,
                &serde_json::json!({"result": "dry_run", "diff": lines, "policy": policy}),
            )
        }
        lift_admin::ChangeAnswer::Conflict { current, by } => {
            Err(cli_error::CliError::Conflict { current, by })
        }
        lift_admin::ChangeAnswer::Invalid { path, problem } => {
            Err(cli_error::CliError::Invalid(format!("{path}: {problem}")))
        }
    }
}

fn random_id() -> lift_types::ChangeId {
    format!("{:032x}", rand::random::<u128>())
}
