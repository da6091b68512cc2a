//! What an agent concludes from the silence of other agents, without a network.

use std::time;

use lift_stage::LinkPatience;

#[test]
fn an_agent_behind_a_congested_link_gives_up_no_other_agent() {
    // Guards against an agent that takes its own congested link for the loss of all others,
    // connects to one after the other and drops the pieces that are on their way.
    let usual = LinkPatience::of_link(100);
    assert!(usual.may_suspect);
    for percent in [12, 50, 75] {
        let congested = LinkPatience::of_link(percent);
        assert!(!congested.may_suspect);
        // Pieces that were requested before the link congested occupy it for seconds.
        assert!(congested.silence > time::Duration::from_secs(2));
        assert!(congested.connect > time::Duration::from_secs(2));
        assert!(congested.silence <= LinkPatience::MAX_SILENCE);
    }
    // On a free link silence means that the other agent has stopped.
    assert!(usual.silence < time::Duration::from_secs(2));
}

#[test]
fn an_agent_behind_a_congested_link_does_not_give_up_the_origin() {
    // Guards against pieces that nobody reads because the agent which is to read them takes its own
    // congested link for an absence of the origin, and probes it with a time that no connection
    // meets there.
    let usual = LinkPatience::of_link(100);
    assert!(usual.probe < time::Duration::from_millis(500));
    for percent in [12, 50, 75] {
        let congested = LinkPatience::of_link(percent);
        assert!(congested.probe > time::Duration::from_secs(2));
    }
}
