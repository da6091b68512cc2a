//! Guards against a rollout status that hides a replica: each one must be counted as
//! following, held or lagging.

mod support;

#[test]
fn each_replica_is_counted_once() {
    let mut policy = lift_types::Policy::default();
    policy.default.version = Some(String::from("v2"));
    policy.exceptions.push(lift_types::PolicyException {
        id: String::from("freeze"),
        scope: lift_types::Scope::Region(String::from("piedmont")),
        value: lift_types::ExceptionValue::Version(String::from("v1")),
        reason: String::from("freeze warning"),
        author: String::from("anna"),
        since: 1,
    });
    let members = [
        support::member(1, "piedmont", Some("v1")),
        support::member(2, "piedmont", Some("v2")),
        support::member(3, "plateau", Some("v2")),
        support::member(4, "plateau", None),
    ];
    let status = lift_admin::RolloutStatus::of(&policy, &members);
    assert_eq!((status.replicas, status.serving), (4, 2));
    let [piedmont, plateau] = &status.regions[..] else {
        unreachable!("two regions, by name");
    };
    assert_eq!((piedmont.serving, piedmont.following), (1, 0));
    assert_eq!(
        (piedmont.held[0].hosts, piedmont.held[0].reason.as_str()),
        (2, "freeze warning")
    );
    assert_eq!((piedmont.lagging[0].host, piedmont.lagging.len()), (2, 1));
    assert_eq!((plateau.serving, plateau.following), (1, 1));
    assert_eq!((plateau.lagging[0].host, plateau.held.len()), (4, 0));
}
