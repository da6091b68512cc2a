//! Guards against rejections of invalid values that don't give the path of the field and the
//! allowed values.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::time::SystemTime;

use lift_state::{ChangeEdit, ChangeReply, Command, CommandReply, ConfigChange, State};
use lift_types::{ChunkHash, ExceptionValue, Manifest};

fn send(state: &State, change: ConfigChange) -> ChangeReply {
    let command = Command::Change {
        change,
        hash: ChunkHash([0; 32]),
        at: SystemTime::UNIX_EPOCH,
    };
    match state.apply(&command) {
        CommandReply::Change(reply) => reply,
        other => panic!("{other:?}"),
    }
}

#[test]
fn rejection_gives_the_field_and_the_allowed_values() {
    let state = State::new();
    for version in ["v1", "v2"] {
        state.apply(&Command::Publish(Manifest::of(version.into(), b"w", 1)));
    }
    let exception = |scope: &str, value| ChangeEdit::AddException {
        id: "freeze".into(),
        scope: scope.parse().unwrap(),
        value,
        reason: "freeze warning".into(),
    };
    let mut default = lift_types::PolicyDefault::default();
    default.limits.weight = 0;
    let mut long = lift_types::PolicyDefault::default();
    for i in 0..200 {
        let methods = (0..20).map(|m| (format!("{m:0>100}"), Default::default()));
        let service = lift_types::ServicePolicy {
            methods: methods.collect(),
            ..lift_types::ServicePolicy::default()
        };
        long.services.insert(format!("service-{i}"), service);
    }
    let cases = [
        (ChangeEdit::SetDefault(long), "edits", "at most 262144"),
        (
            ChangeEdit::SetDefaultVersion("v9".into()),
            "edits[0].set_default_version",
            "v2, v1",
        ),
        (
            exception("workspace:depot", ExceptionValue::Version("v1".into())),
            "edits[0].scope",
            "region, failure-domain, host",
        ),
        (
            exception("region:r1", ExceptionValue::ActivationFloorPercent(101)),
            "edits[0].value.activation_floor_percent",
            "0 to 100",
        ),
        (
            ChangeEdit::SetDefault(default),
            "edits[0].limits.weight",
            "1 to 4294967295",
        ),
        (
            ChangeEdit::RemoveException { id: "x".into() },
            "edits[0].id",
            "none yet",
        ),
    ];
    for (i, (edit, path, allowed)) in cases.into_iter().enumerate() {
        let reply = send(
            &state,
            ConfigChange {
                id: i.to_string(),
                expected: 0,
                author: "ana".into(),
                reason: "release".into(),
                edits: vec![edit],
            },
        );
        let ChangeReply::Invalid {
            path: found,
            problem,
        } = reply
        else {
            panic!("{reply:?}");
        };
        assert_eq!(found, path);
        assert!(
            problem.ends_with(&format!("allowed: {allowed}")),
            "{problem}"
        );
    }
}
