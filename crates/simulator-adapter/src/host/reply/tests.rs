use super::*;
use crate::wire::message::BalancerStart;

#[test]
fn every_action_has_its_line() {
    let setup = r#"{"Areas":["a"],"Balancers":1,"Categories":[{"DeadlineMs":9.0,"Effect":"fragile",
        "Name":"c","TargetMs":9.0}],"Discovery":"automatic","GranularityMs":1.0,"Limits":{"MostTries":1},
        "Rules":{"ColdFrom":0.5,"OverloadFactor":3.0,"TipAfterMs":1.0,"WarmAfterMs":1.0},"Zone":"a"}"#;
    let setup = serde_json::from_str(setup).expect("a setup");
    let start = BalancerStart { balancer_id: 6, rng_seed: 1, setup };
    let mut balancer = HostedBalancer::start(&start).expect("it starts");
    let server = balancer.servers.intern("10.0.0.1:80");
    for wire_id in ["r-0", "r-1", "r-2"] {
        balancer.open_request(wire_id.to_owned());
    }
    let upstream = r#""BalancerId":6,"Upstream":"10.0.0.1:80""#;
    for (action, line) in [
        (
            Action::Send { request: 0, server, limit: 1_500 },
            r#"{"CallOut":{"BalancerId":6,"Rid":"r-0","LimitMs":1.5,"Upstream":"10.0.0.1:80"}}"#.to_owned(),
        ),
        (
            Action::Cancel { request: 0, attempt: 2 },
            r#"{"AbortAttempt":{"BalancerId":6,"Rid":"r-0","Trial":2}}"#.to_owned(),
        ),
        (
            Action::Reject { request: 1, retry_after: 2_000 },
            r#"{"Refuse":{"BalancerId":6,"Rid":"r-1","WaitMs":2.0}}"#.to_owned(),
        ),
        (Action::Fail { request: 2 }, r#"{"FinishError":{"BalancerId":6,"Rid":"r-2"}}"#.to_owned()),
        (Action::HealthCheck { server }, format!(r#"{{"Touch":{{{upstream}}}}}"#)),
        (Action::CloseIdle { server }, format!(r#"{{"ShutIdle":{{{upstream}}}}}"#)),
        (
            Action::Timer { delay: 500, token: 9 },
            r#"{"Schedule":{"BalancerId":6,"OffsetMs":0.5,"Ctx":9}}"#.to_owned(),
        ),
        (Action::Watch, r#"{"Subscribe":{"BalancerId":6,"Enable":true}}"#.to_owned()),
        (Action::Fetch, r#"{"QueryAll":{"BalancerId":6}}"#.to_owned()),
    ] {
        let mut reply = Vec::new();
        balancer.write_action(&action, &mut reply).expect("it is written");
        assert_eq!(String::from_utf8(reply).expect("UTF-8"), line + "\n");
    }
    assert_eq!(balancer.request_ids.keys().collect::<Vec<_>>(), ["r-0"], "answered ones with nothing out go");
}
